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
