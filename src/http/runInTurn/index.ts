import { setImmediate as yieldToEvents } from "node:timers/promises";

/**
 * Returns a function that runs calls one after the other, with other events in between, so that what one call has made can be
 * handed on before the next one starts.
 *
 * @example
 * const readInTurn = runInTurn();
 * await readInTurn(() => readAll());
 */
export function runInTurn(): <Result>(call: () => Promise<Result>) => Promise<Result> {
    let last: Promise<unknown> = Promise.resolve();
    return (call) => {
        const result = last.then(call);
        last = result.then(() => yieldToEvents(), () => yieldToEvents());
        return result;
    };
}
