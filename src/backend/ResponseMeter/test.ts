import test from "ava";
import { ResponseLimitError } from "../ResponseLimitError.js";
import { ResponseLimitKind } from "../ResponseLimitKind.js";
import { ResponseMeter } from "./index.js";

const LIMITS = { maxBodyBytes: 4_096, maxHeadBytes: 1_024, maxFields: 8, maxSmallChunks: 4, minMeanChunkBytes: 16 };

function times(count: number, run: () => void): void {
    for (let number = 0; number < count; number += 1) {
        run();
    }
}

function limitOf(error: Error | undefined): ResponseLimitKind | undefined {
    return error instanceof ResponseLimitError ? error.excess.kind : undefined;
}

test("a response may have a number of chunks of any size, and further ones by the bytes of its body", (t) => {
    const meter = ResponseMeter.create(LIMITS);
    times(4, () => meter.countChunk());
    meter.countBody(15);
    t.is(limitOf(t.throws(() => meter.countChunk())), ResponseLimitKind.Chunks);
    const larger = ResponseMeter.create(LIMITS);
    larger.countBody(32);
    times(6, () => larger.countChunk());
    t.is(limitOf(t.throws(() => larger.countChunk())), ResponseLimitKind.Chunks);
});

test("a response has a limited number of header fields, bytes of body and bytes of head", (t) => {
    const meter = ResponseMeter.create(LIMITS);
    times(8, () => meter.countField());
    t.is(limitOf(t.throws(() => meter.countField())), ResponseLimitKind.Fields);
    meter.checkLength(4_096);
    t.is(limitOf(t.throws(() => meter.checkLength(4_097))), ResponseLimitKind.Body);
    meter.countBody(4_096);
    t.is(limitOf(t.throws(() => meter.countBody(1))), ResponseLimitKind.Body);
    const head = ResponseMeter.create(LIMITS);
    head.countRead(1_024);
    head.checkHead();
    head.countRead(1);
    t.is(limitOf(t.throws(() => head.checkHead())), ResponseLimitKind.Head);
});

// Guards against bytes of framing that grow with the body: 16 MB of body allowed a line of 128 MB.
test("the framing of a large body allows no more bytes of head than its chunks need", (t) => {
    const meter = ResponseMeter.create(LIMITS);
    meter.countChunk();
    meter.countBody(4_000);
    meter.countRead(4_000 + 12 + 1_024);
    meter.checkHead();
    meter.countRead(1);
    t.is(limitOf(t.throws(() => meter.checkHead())), ResponseLimitKind.Head);
});

test("what one response was allowed is not taken from the next", (t) => {
    const meter = ResponseMeter.create(LIMITS);
    times(2, () => {
        meter.reset();
        meter.countRead(1_024);
        meter.checkHead();
        times(4, () => meter.countChunk());
        times(8, () => meter.countField());
        meter.countBody(4_096);
    });
    t.is(meter.receivedBytes, 1_024);
});
