import { EventEmitter } from "node:events";
import test from "ava";
import { ProcessSignals } from "./index.js";

function create(): { readonly source: EventEmitter; readonly signals: ProcessSignals; readonly calls: string[]; readonly listen: () => void } {
    const source = new EventEmitter();
    const signals = ProcessSignals.create(source);
    const calls: string[] = [];
    return { source, signals, calls, listen: () => signals.listen(() => calls.push("reload"), () => calls.push("stop")) };
}

test("signals that come while the process runs reload its settings and stop it", (t) => {
    const { source, calls, listen } = create();
    listen();
    ["SIGHUP", "SIGHUP", "SIGTERM"].forEach((signal) => source.emit(signal));
    t.deepEqual(calls, ["reload", "reload", "stop"]);
});

// Guards against a process that a signal ends in its first moments, with all it has accepted.
test("signals that come before the process has started take effect once it has", (t) => {
    const { source, calls, listen } = create();
    ["SIGHUP", "SIGTERM"].forEach((signal) => t.true(source.emit(signal)));
    listen();
    t.deepEqual(calls, ["reload", "stop"]);
});

// Guards against a stop that a second signal turns into an abort of all requests.
test("further signals to stop do not interrupt a stop", (t) => {
    const { source, calls, listen } = create();
    listen();
    ["SIGTERM", "SIGTERM", "SIGINT"].forEach((signal) => t.true(source.emit(signal)));
    t.deepEqual(calls, ["stop"]);
});

// Guards against a process that waits for a port or a disk for ever and can only be killed.
test("a signal to stop ends the waits of a start, whether it comes before or during them", (t) => {
    for (const isBefore of [true, false]) {
        const { source, signals, calls, listen } = create();
        if (isBefore) {
            source.emit("SIGTERM");
        }
        signals.listenEarly(() => calls.push("give up"));
        if (!isBefore) {
            source.emit("SIGTERM");
        }
        t.deepEqual(calls, ["give up"]);
        listen();
        t.deepEqual(calls, ["give up", "stop"]);
    }
});
