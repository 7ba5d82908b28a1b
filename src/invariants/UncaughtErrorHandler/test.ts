import { install } from "@sinonjs/fake-timers";
import test from "ava";
import { UncaughtErrorHandler } from "./index.js";

test.serial("a process survives isolated errors and is terminated when errors accumulate", (t) => {
    const clock = install();
    t.teardown(() => clock.uninstall());
    const reports: boolean[] = [];
    let terminations = 0;
    const handler = UncaughtErrorHandler.create(3, (_error, isLast) => reports.push(isLast), () => {
        terminations += 1;
    });
    for (let error = 0; error < 6; error += 1) {
        handler.handle(new Error("unexpected"));
        clock.tick(5_000);
    }
    t.is(terminations, 0);
    clock.tick(10_000);
    for (let error = 0; error < 4; error += 1) {
        handler.handle(new Error("unexpected"));
    }
    t.deepEqual(reports.slice(-4), [false, false, false, true]);
    t.is(terminations, 1);
});

test.serial("with a maximum of 0 errors the first error terminates the process", (t) => {
    let terminations = 0;
    UncaughtErrorHandler.create(0, () => undefined, () => {
        terminations += 1;
    }).handle(new Error("unexpected"));
    t.is(terminations, 1);
});
