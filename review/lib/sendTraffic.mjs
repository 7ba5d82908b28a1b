/* eslint-disable @typescript-eslint/explicit-function-return-type */
import { setTimeout as delay } from "node:timers/promises";
import { sendAttempt } from "./sendAttempt.mjs";

/**
 * Sends client attempts at a constant rate, whatever becomes of earlier ones, and waits for all of them.
 *
 * @param recorder - Record of the run; gets one line for each attempt.
 * @param options - `perSecond`, `durationMs`, and `create`, which returns the address and the options of attempt number `n`.
 * @returns The answers.
 */
export async function sendTraffic(recorder, { perSecond, durationMs, create }) {
    const startedAtMs = Date.now();
    const pending = [];
    for (let n = 0; Date.now() < startedAtMs + durationMs; n += 1) {
        await delay(Math.max(0, startedAtMs + n * 1_000 / perSecond - Date.now()));
        const { address, ...options } = create(n);
        const sentAtMs = recorder.elapsedMs;
        pending.push(sendAttempt(address, options).then((answer) => {
            const { attempt, status, end, body, tookMs } = answer;
            recorder.record("client", { attempt, machine: address, path: options.path, sentAtMs, status, end, bytes: body.length, tookMs });
            return { ...answer, sentAtMs };
        }));
    }
    return Promise.all(pending);
}
