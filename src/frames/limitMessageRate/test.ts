import { EventEmitter } from "node:events";
import test from "ava";
import FakeTimers from "@sinonjs/fake-timers";
import type { WebSocket } from "ws";
import { limitMessageRate } from "./index.js";

class PausableEmitter extends EventEmitter {
    isPaused = false;

    pause(): void {
        this.isPaused = true;
    }

    resume(): void {
        this.isPaused = false;
    }
}

// Guards against a control VM that answers nobody because one process of the fleet sends it small messages without end.
test.serial("of a peer that sends without end, no more messages are read than the rate allows", (t) => {
    const clock = FakeTimers.install();
    const socket = new PausableEmitter();
    let limits = 0;
    let read = 0;
    limitMessageRate(socket as unknown as WebSocket, { perSecond: 100, burst: 200 }, () => limits += 1);
    for (let atMs = 0; atMs < 10_000; atMs += 1) {
        // A read may bring several messages, which are all delivered.
        for (let index = 0; index < 50 && !socket.isPaused; index += 1) {
            socket.emit("message");
            read += 1;
        }
        clock.tick(1);
    }
    clock.uninstall();
    t.true(read >= 1_100 && read <= 1_250, String(read));
    t.true(limits > 0);
});

test.serial("a peer within the rate is never paused, also after a pause of its own", (t) => {
    const clock = FakeTimers.install();
    const socket = new PausableEmitter();
    limitMessageRate(socket as unknown as WebSocket, { perSecond: 100, burst: 200 }, () => t.fail("paused"));
    for (let second = 0; second < 10; second += 1) {
        for (let index = 0; index < 90; index += 1) {
            socket.emit("message");
        }
        t.false(socket.isPaused);
        clock.tick(1_000);
    }
    clock.uninstall();
});
