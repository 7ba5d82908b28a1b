import test from "ava";
import { deflateFrame } from "../deflateFrame/index.js";
import { inflateFrame } from "./index.js";

const LARGE = Buffer.alloc(100_000, "route/r-1 ");

test("a large frame is sent compressed and read whole", (t) => {
    const data = deflateFrame(LARGE);
    t.true(data.length < LARGE.length / 10);
    t.deepEqual(inflateFrame(data, LARGE.length), LARGE);
});

test("a small frame is sent as it is", (t) => {
    const small = LARGE.subarray(0, 4_095);
    t.is(deflateFrame(small), small);
    t.is(inflateFrame(small, LARGE.length), small);
});

// Guards against a few bytes that take all memory of the process that reads them.
test("a compressed frame that is larger than a frame may be is refused", (t) => {
    t.throws(() => inflateFrame(deflateFrame(LARGE), LARGE.length - 1));
});

test("a compressed frame that is cut or no compressed data is refused", (t) => {
    const data = deflateFrame(LARGE);
    t.throws(() => inflateFrame(data.subarray(0, data.length / 2), LARGE.length));
    t.throws(() => inflateFrame(Buffer.from([0xC1, 0xFF, 0xFF]), LARGE.length));
    t.throws(() => inflateFrame(Buffer.from([0xC1]), LARGE.length));
});
