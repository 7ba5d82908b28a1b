import FakeTimers from "@sinonjs/fake-timers";
import test from "ava";
import { PauseWatch } from "./index.js";

test.serial("a pause is noticed by the first who asks after it, and a process that runs has none", (t) => {
    const clock = FakeTimers.install({ toFake: ["setTimeout", "clearTimeout", "performance"] });
    t.teardown(() => clock.uninstall());
    const watch = PauseWatch.create();
    t.teardown(() => watch.close());
    clock.tick(10_000);
    t.is(watch.resumedAtMs, Number.NEGATIVE_INFINITY);
    clock.jump(3_000);
    const resumedAtMs = performance.now();
    t.is(watch.resumedAtMs, resumedAtMs);
    clock.tick(10_000);
    t.is(watch.resumedAtMs, resumedAtMs);
});
