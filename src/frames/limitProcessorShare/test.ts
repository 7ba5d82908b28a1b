import { EventEmitter } from "node:events";
import type { Socket } from "node:net";
import { install } from "@sinonjs/fake-timers";
import test from "ava";
import type { WebSocket } from "ws";
import { limitProcessorShare } from "./index.js";

// Guards against one peer whose messages keep a process so busy that it answers no other in time.
test.serial("a peer whose messages take too much time is not read for a moment, and one that takes little always is", (t) => {
    const clock = install();
    try {
        const countPauses = (handlingMs: number): number => {
            const network = new EventEmitter();
            const webSocket = {
                isPaused: false,
                pauseCount: 0,
                pause: () => {
                    webSocket.isPaused = true;
                    webSocket.pauseCount += 1;
                },
                resume: () => {
                    webSocket.isPaused = false;
                },
            };
            network.on("data", () => clock.tick(handlingMs));
            limitProcessorShare(webSocket as unknown as WebSocket, network as unknown as Socket, 0.5);
            for (let index = 0; index < 100; index += 1) {
                if (!webSocket.isPaused) {
                    network.emit("data", Buffer.alloc(1));
                }
                clock.tick(20);
            }
            clock.tick(1_000);
            t.false(webSocket.isPaused);
            return webSocket.pauseCount;
        };
        t.is(countPauses(15), 0);
        t.true(countPauses(80) >= 3);
    }
    finally {
        clock.uninstall();
    }
});
