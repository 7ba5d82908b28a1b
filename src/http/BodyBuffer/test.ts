import test from "ava";
import * as fc from "fast-check";
import { BodyBuffer } from "./index.js";

const BODY_BYTES = 300_000;
/** Half as much again as the body, and some for what the runtime does besides. */
const MAX_GROWTH_BYTES = 1_000_000;

test("pieces of any sizes are returned as one body in their order", (t) => {
    fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 5_000 }), { maxLength: 60 }), (pieces) => {
        const body = BodyBuffer.create();
        pieces.forEach((piece) => body.add(Buffer.from(piece)));
        t.is(body.lengthBytes, pieces.reduce((sum, { length }) => sum + length, 0));
        t.deepEqual(body.take(), Buffer.concat(pieces));
        t.is(body.lengthBytes, 0);
    }));
});

test("a piece that is changed after it was added does not change the body", (t) => {
    const body = BodyBuffer.create();
    const piece = Buffer.from("a");
    body.add(piece);
    piece.write("b");
    t.is(body.take().toString(), "a");
});

test("a body that is cleared starts anew", (t) => {
    const body = BodyBuffer.create();
    body.add(Buffer.from("before"));
    body.clear();
    body.add(Buffer.from("after"));
    t.is(body.take().toString(), "after");
});

test("a body in pieces of one byte takes memory by its bytes, not by its pieces", (t) => {
    const body = BodyBuffer.create();
    const read = Buffer.alloc(BODY_BYTES, "z");
    const usedBytes = (): number => process.memoryUsage().heapUsed + process.memoryUsage().external;
    body.add(read.subarray(0, 1));
    const beforeBytes = usedBytes();
    const kept: Buffer[] = [];
    for (let index = 1; index < BODY_BYTES; index += 1) {
        // One view for all pieces, so that only what the buffer keeps is measured.
        const view = kept[0] ?? Buffer.alloc(1, "z");
        kept[0] = view;
        body.add(view);
    }
    t.true(usedBytes() - beforeBytes < MAX_GROWTH_BYTES, `${usedBytes() - beforeBytes} bytes for a body of ${BODY_BYTES}`);
    t.is(body.take().length, BODY_BYTES);
});
