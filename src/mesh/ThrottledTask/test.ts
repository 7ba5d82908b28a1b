import { type Clock, install } from "@sinonjs/fake-timers";
import test from "ava";
import { ThrottledTask } from "./index.js";

function withFakeClock(run: (clock: Clock, task: ThrottledTask, runsAtMs: number[]) => void): void {
    const clock = install();
    try {
        const runsAtMs: number[] = [];
        run(clock, ThrottledTask.create(() => runsAtMs.push(clock.now)), runsAtMs);
    }
    finally {
        clock.uninstall();
    }
}

test.serial("the first run is immediate, and further runs keep the minimum interval however often they are requested", (t) => {
    withFakeClock((clock, task, runsAtMs) => {
        for (let step = 0; step < 50; step += 1) {
            task.request(100);
            clock.tick(10);
        }
        t.deepEqual(runsAtMs, [0, 100, 200, 300, 400, 500]);
    });
});

test.serial("a request with a shorter interval overrides a scheduled run with a longer one", (t) => {
    withFakeClock((clock, task, runsAtMs) => {
        task.request(0);
        clock.tick(10);
        task.request(500);
        task.request(50);
        clock.tick(1_000);
        t.deepEqual(runsAtMs, [0, 50]);
    });
});

test.serial("a closed task does not run", (t) => {
    withFakeClock((clock, task, runsAtMs) => {
        task.request(0);
        task.request(100);
        task.close();
        clock.tick(1_000);
        t.deepEqual(runsAtMs, [0]);
    });
});
