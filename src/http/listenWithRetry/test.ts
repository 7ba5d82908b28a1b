import { EventEmitter } from "node:events";
import test from "ava";
import { EventLog } from "../../logs/EventLog/index.js";
import { FleetError } from "../../model/FleetError.js";
import { StartWaits } from "../../starts/StartWaits/index.js";
import { listenWithRetry } from "./index.js";

const systemError = (code: string): Error => Object.assign(new Error(code), { code, syscall: "listen" });

/** Returns a function that makes a server fail with the given errors in turn, and listen after them. */
function createListen(server: EventEmitter, errors: readonly Error[]): () => EventEmitter {
    const left = [...errors];
    return () => {
        const error = left.shift();
        setImmediate(() => error === undefined ? server.emit("listening") : server.emit("error", error));
        return server;
    };
}

// Guards against a process that ends because its address is configured a moment after its start.
test("a server waits for an address that is not there yet, and for a port that is held", async (t) => {
    const events = EventLog.create("vm-1", undefined);
    const listen = createListen(new EventEmitter(), [systemError("EADDRNOTAVAIL"), systemError("EADDRINUSE")]);
    await listenWithRetry("a:1", listen, () => undefined, StartWaits.create(events, new AbortController().signal));
    t.deepEqual(events.find("StartDelayed").map(({ what, problem }) => [what, problem]), [["listening on a:1", "listen a:1: EADDRNOTAVAIL"]]);
});

test("without waits, and for an address that is impossible, a server that cannot listen is an error", async (t) => {
    const waits = StartWaits.create(EventLog.create("vm-1", undefined), new AbortController().signal);
    const failing = createListen(new EventEmitter(), [systemError("EADDRINUSE")]);
    const impossible = (): EventEmitter => {
        throw new RangeError("port 99999");
    };
    for (const attempt of [listenWithRetry("a:1", failing, () => undefined), listenWithRetry("a:1", impossible, () => undefined, waits)]) {
        t.true(await t.throwsAsync(attempt, { any: true }) instanceof FleetError);
    }
});

// Guards against a control VM that ends because a connection cannot be accepted.
test("an error of a listening server is reported instead of being uncaught", async (t) => {
    const errors: string[] = [];
    const server = await listenWithRetry("a:1", createListen(new EventEmitter(), []), (error) => errors.push(error.message));
    server.emit("error", systemError("EMFILE"));
    t.deepEqual(errors, ["EMFILE"]);
});
