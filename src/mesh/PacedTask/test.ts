import { type Clock, install } from "@sinonjs/fake-timers";
import test from "ava";
import { PacedTask } from "./index.js";

function play(run: (clock: Clock, task: PacedTask, runsAtMs: number[]) => void): void {
    const clock = install();
    try {
        const runsAtMs: number[] = [];
        run(clock, PacedTask.create(() => runsAtMs.push(clock.now)), runsAtMs);
    }
    finally {
        clock.uninstall();
    }
}

test.serial("the first run is immediate, and the next ones keep the gap however often they are asked for", (t) => {
    play((clock, task, runsAtMs) => {
        for (let step = 0; step < 50; step += 1) {
            task.request(100);
            clock.tick(10);
        }
        t.deepEqual(runsAtMs, [0, 100, 200, 300, 400, 500]);
    });
});

test.serial("a run that may come sooner is not held up by one that was asked for with a longer gap", (t) => {
    play((clock, task, runsAtMs) => {
        task.request(0);
        clock.tick(10);
        task.request(500);
        task.request(50);
        clock.tick(1_000);
        t.deepEqual(runsAtMs, [0, 50]);
    });
});

test.serial("a closed task does not run", (t) => {
    play((clock, task, runsAtMs) => {
        task.request(0);
        task.request(100);
        task.close();
        clock.tick(1_000);
        t.deepEqual(runsAtMs, [0]);
    });
});
