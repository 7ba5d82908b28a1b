import { install } from "@sinonjs/fake-timers";
import test from "ava";
import { ErrorGuard } from "./index.js";

test.serial("a process survives single errors, and is ended when they pile up", (t) => {
    const clock = install();
    t.teardown(() => clock.uninstall());
    const reports: boolean[] = [];
    let ends = 0;
    const guard = ErrorGuard.create(3, (_error, isLast) => reports.push(isLast), () => {
        ends += 1;
    });
    for (let error = 0; error < 6; error += 1) {
        guard.take(new Error("unexpected"));
        clock.tick(5_000);
    }
    t.is(ends, 0);
    clock.tick(10_000);
    for (let error = 0; error < 4; error += 1) {
        guard.take(new Error("unexpected"));
    }
    t.deepEqual(reports.slice(-4), [false, false, false, true]);
    t.is(ends, 1);
});

test.serial("a process whose state would be in doubt is ended by the first error", (t) => {
    let ends = 0;
    ErrorGuard.create(0, () => undefined, () => {
        ends += 1;
    }).take(new Error("unexpected"));
    t.is(ends, 1);
});
