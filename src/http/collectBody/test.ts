import { Readable } from "node:stream";
import test from "ava";
import { collectBody } from "./index.js";

const PIECES = 200_000;
/** Limit on the growth of the heap while the pieces are collected, in bytes; kept pieces took 100 bytes or more each. */
const MAX_HEAP_GROWTH_BYTES = 12_000_000;

// Guards against a heap that is filled by the objects for small pieces.
test("the memory for a body grows with its bytes and not with the number of its pieces", async (t) => {
    const source = new Readable({ read: () => undefined });
    const body = collectBody(source, PIECES);
    const beforeBytes = process.memoryUsage().heapUsed;
    for (let number = 0; number < PIECES; number += 1) {
        source.push(Buffer.from("z"));
        if (number % 1_000 === 0) {
            await new Promise(setImmediate);
        }
    }
    await new Promise(setImmediate);
    const grownBytes = process.memoryUsage().heapUsed - beforeBytes;
    source.push(null);
    t.is((await body)?.length, PIECES);
    t.log(`${grownBytes} bytes`);
    t.true(grownBytes < MAX_HEAP_GROWTH_BYTES, `${grownBytes} bytes`);
});

test("a body beyond the limit is not returned", async (t) => {
    t.is(await collectBody(Readable.from([Buffer.from("abc"), Buffer.from("de")]), 4), undefined);
    t.is((await collectBody(Readable.from([Buffer.from("abc"), Buffer.from("d")]), 4))?.toString(), "abcd");
});

test("a body whose source ends prematurely is an error", async (t) => {
    const source = new Readable({ read: () => undefined });
    const body = collectBody(source, 10);
    source.push("a");
    source.destroy();
    await t.throwsAsync(body, { message: "the body ended prematurely" });
});
