import test from "ava";
import { RequestKind } from "../../../model/RequestKind.js";
import { crossingMarginMs } from "./index.js";

const CASES = [
    { load: "calls with responses of 400 bytes: placed as before", transferBytes: 400, requestKind: RequestKind.Repeatable, marginMs: 0 },
    { load: "small requests and responses of 2 kB", transferBytes: 2_048, requestKind: RequestKind.Once, marginMs: 0 },
    { load: "responses of 24 kB", transferBytes: 24_000, requestKind: RequestKind.Repeatable, marginMs: 549 },
    { load: "uploads of 60 kB", transferBytes: 60_000, requestKind: RequestKind.Once, marginMs: 1_449 },
    { load: "the largest uploads, of 360 kB", transferBytes: 360_000, requestKind: RequestKind.Once, marginMs: 1_500 },
    { load: "downloads of a route that has had no response yet", transferBytes: 0, requestKind: RequestKind.Download, marginMs: 600 },
];

// Guards against bytes between failure domains that nobody asked for, and against slower answers where the bytes are few.
CASES.forEach(({ load, transferBytes, requestKind, marginMs }) => {
    test(`margin of ${load}`, (t) => {
        t.is(crossingMarginMs(transferBytes, requestKind), marginMs);
    });
});
