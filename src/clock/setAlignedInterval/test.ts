import { install } from "@sinonjs/fake-timers";
import test from "ava";
import { setAlignedInterval } from "./index.js";

test.serial("a task runs at each multiple of its period until it is stopped", (t) => {
    const clock = install();
    t.teardown(() => clock.uninstall());
    clock.tick(30);
    const runsAtMs: number[] = [];
    const stop = setAlignedInterval(200, () => runsAtMs.push(clock.now));
    clock.tick(700);
    stop();
    clock.tick(1_000);
    t.deepEqual(runsAtMs, [200, 400, 600]);
});
