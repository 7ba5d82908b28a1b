import test from "ava";
import { SendReason } from "../SendReason.js";
import { SendWindow } from "./index.js";

test("requests are counted by reason until the window has passed them", (t) => {
    const window = SendWindow.create(4_000);
    window.record(SendReason.First, 0);
    window.record(SendReason.First, 1_000);
    window.record(SendReason.Probe, 3_999);
    t.is(window.count(3_999), 3);
    t.deepEqual(window.countByReason(3_999), { [SendReason.First]: 2, [SendReason.Probe]: 1 });
    t.deepEqual(window.countByReason(4_000), { [SendReason.First]: 1, [SendReason.Probe]: 1 });
    t.is(window.count(9_000), 0);
});

/** Records requests at an even rate for the length of three windows, and returns the processor time for the last one, in µs. */
function measureUs(perWindow: number): number {
    const window = SendWindow.create(4_000);
    const send = (number: number): void => {
        window.record(SendReason.First, number * 4_000 / perWindow);
        window.count(number * 4_000 / perWindow);
    };
    for (let number = 0; number < 2 * perWindow; number += 1) {
        send(number);
    }
    const start = process.cpuUsage();
    for (let number = 2 * perWindow; number < 3 * perWindow; number += 1) {
        send(number);
    }
    const { user, system } = process.cpuUsage(start);
    return user + system;
}

// Guards against a count that reads all requests of the window for each one: at 2,000 a second it took half of a processor.
test("the processor time of a request does not grow with the rate of requests", (t) => {
    const timeUs = measureUs(20_000);
    t.true(timeUs < 200_000, `${timeUs} µs for 20,000 requests`);
});

test("a window in which half and more of the requests have passed counts the others", (t) => {
    const window = SendWindow.create(100);
    for (let atMs = 0; atMs < 1_000; atMs += 1) {
        window.record(SendReason.First, atMs);
        t.is(window.count(atMs), Math.min(atMs + 1, 100));
    }
    t.deepEqual(window.countByReason(1_049), { [SendReason.First]: 50 });
});
