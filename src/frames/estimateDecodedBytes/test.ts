import test from "ava";
import fc from "fast-check";
import { Packr } from "msgpackr";
import { estimateDecodedBytes } from "./index.js";

const withRecords = new Packr({ useRecords: true });
const withMaps = new Packr({ useRecords: false });

// Guards against a frame of the fleet that is refused because the walk over it has lost its way.
test("whatever a process packs has a finite estimate that grows with its strings and values", (t) => {
    const binary = fc.uint8Array().map((bytes) => Buffer.from(bytes));
    const leaf = fc.oneof(fc.string(), fc.integer(), fc.double(), fc.boolean(), fc.constant(undefined), binary);
    const field = fc.stringMatching(/^[a-z]{1,8}$/);
    const value = fc.letrec<{ node: unknown }>((tie) => ({
        node: fc.oneof({ maxDepth: 4 }, leaf, fc.array(tie("node")), fc.dictionary(field, tie("node"))),
    })).node;
    fc.assert(fc.property(value, (content) => {
        [withRecords, withMaps].forEach((packr) => {
            const data = packr.pack({ content, again: [content, content] });
            const sizeBytes = estimateDecodedBytes(data);
            t.true(Number.isFinite(sizeBytes));
        });
    }), { numRuns: 500 });
    const text = "x".repeat(70_000);
    t.true(estimateDecodedBytes(withRecords.pack([text, text])) >= 140_000);
    t.true(estimateDecodedBytes(withRecords.pack(Array.from({ length: 1_000 }, (_value, index) => ({ index })))) >= 64_000);
});

// Guards against a process that runs out of heap by decoding a frame of a few megabytes.
test("a frame of one byte for each map or array is estimated at what these take", (t) => {
    const count = 100_000;
    const head = Buffer.from([0xdd, 0, 0, 0, 0]);
    head.writeUInt32BE(count, 1);
    t.true(estimateDecodedBytes(Buffer.concat([head, Buffer.alloc(count, 0x80)])) > 200 * count);
    t.true(estimateDecodedBytes(Buffer.concat([head, Buffer.alloc(count, 0x90)])) > 50 * count);
});

const invalidCases: readonly { readonly title: string; readonly bytes: readonly number[] }[] = [
    { title: "nothing", bytes: [] },
    { title: "an array that announces more elements than bytes", bytes: [0xdd, 0xff, 0xff, 0xff, 0xff, 1] },
    { title: "a map that announces more entries than bytes", bytes: [0xdf, 0x7f, 0xff, 0xff, 0xff, 1] },
    { title: "arrays that together announce more elements than bytes", bytes: [0x92, 0x9f, 0x9f, 1, 1, 1, 1] },
    { title: "a string that is cut", bytes: [0xa5, 0x61] },
    { title: "a number that is cut", bytes: [0xcb, 1, 2] },
    { title: "bytes behind the value", bytes: [1, 1] },
    { title: "an extension that no process sends", bytes: [0xc7, 1, 0x78, 0x61] },
    { title: "a record whose keys are no strings", bytes: [0xd4, 0x72, 0x40, 0x91, 0x90, 1] },
    { title: "a token that MessagePack does not use", bytes: [0xc1] },
];

for (const { title, bytes } of invalidCases) {
    test(`${title} is no frame`, (t) => {
        t.is(estimateDecodedBytes(Buffer.from(bytes)), Number.POSITIVE_INFINITY);
    });
}
