import test from "ava";
import { BODY_WINDOW_BYTES } from "../../backend/bodyWindow.js";
import { TunnelBody } from "./index.js";

const CHUNK = Buffer.alloc(64 * 1_024);

interface Fixture {
    readonly body: TunnelBody;
    readonly calls: string[];
    readonly start: () => void;
}

function createFixture(hasRoom = (): boolean => true): Fixture {
    const calls: string[] = [];
    const body = TunnelBody.create({ onGrant: (bytes) => calls.push(`grant ${bytes}`), hasRoom, onCancel: () => calls.push("cancel") });
    const start = (): void => body.start({
        handleChunk: ({ length }) => calls.push(`chunk ${length}`),
        handleEnd: (problem) => calls.push(`end ${problem ?? "whole"}`),
    });
    return { body, calls, start };
}

test("pieces and the end that come before the start are passed on in order", (t) => {
    const { body, calls, start } = createFixture();
    body.handleChunk(Buffer.alloc(3));
    body.handleChunk(Buffer.alloc(4));
    body.handleEnd(undefined);
    start();
    t.deepEqual(calls, ["chunk 3", "chunk 4", "end whole"]);
});

// Guards against a gate that stops for lack of credit, and against a frame for each small piece.
test("credit is granted in portions as the reader takes pieces", (t) => {
    const { body, calls, start } = createFixture();
    start();
    body.handleChunk(CHUNK);
    t.false(body.isAwaitingData);
    body.grant(CHUNK.length - 1);
    t.deepEqual(calls, ["chunk 65536"]);
    body.grant(1);
    t.deepEqual(calls, ["chunk 65536", "grant 65536"]);
    t.true(body.isAwaitingData);
});

// Guards against a gate that fills the memory of an entry.
test("a piece beyond the credit ends the body as broken", (t) => {
    const { body, calls, start } = createFixture();
    start();
    for (let bytes = 0; bytes < BODY_WINDOW_BYTES; bytes += CHUNK.length) {
        body.handleChunk(CHUNK);
    }
    t.is(calls.length, BODY_WINDOW_BYTES / CHUNK.length);
    body.handleChunk(Buffer.alloc(1));
    t.deepEqual(calls.slice(-2), ["cancel", "end the gate has sent more than its credit"]);
    body.handleEnd(undefined);
    t.is(calls.length, BODY_WINDOW_BYTES / CHUNK.length + 2);
});

test("a reader that leaves cancels the body once", (t) => {
    const { body, calls, start } = createFixture();
    start();
    body.cancel();
    body.cancel();
    body.handleChunk(CHUNK);
    body.handleEnd("lost");
    t.deepEqual(calls, ["cancel"]);
});

// Guards against a gate that stops before a slow reader has taken the rest of its response.
test("once hurried, a body takes pieces ahead of its reader, and grants no byte twice", (t) => {
    const { body, calls, start } = createFixture();
    start();
    body.handleChunk(CHUNK);
    body.hurry();
    body.hurry();
    body.handleChunk(CHUNK);
    t.deepEqual(calls, ["chunk 65536", "grant 65536", "grant 65536", "chunk 65536"]);
    body.grant(2 * CHUNK.length);
    t.is(calls.length, 4);
    for (let bytes = 0; bytes < 2 * BODY_WINDOW_BYTES; bytes += CHUNK.length) {
        body.handleChunk(CHUNK);
    }
    t.false(calls.includes("cancel"));
    body.handleEnd(undefined);
    t.is(calls.at(-1), "end whole");
});

// Guards against an entry that fills its memory with the responses of a gate that stops.
test("without room, a hurried body grants only what its reader has taken", (t) => {
    let hasRoom = false;
    const { body, calls, start } = createFixture(() => hasRoom);
    start();
    body.hurry();
    body.handleChunk(CHUNK);
    t.deepEqual(calls, ["chunk 65536"]);
    body.grant(CHUNK.length);
    t.deepEqual(calls, ["chunk 65536", "grant 65536"]);
    hasRoom = true;
    body.handleChunk(CHUNK);
    body.grant(CHUNK.length);
    t.deepEqual(calls.slice(2), ["grant 65536", "chunk 65536"]);
});
