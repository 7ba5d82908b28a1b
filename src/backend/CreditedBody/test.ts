import test from "ava";
import { BODY_WINDOW_BYTES } from "../bodyWindow.js";
import { CreditedBody } from "./index.js";

interface Fixture {
    readonly body: CreditedBody;
    readonly calls: string[];
    readonly chunks: Buffer[];
    readonly start: () => void;
    readonly takenBytes: () => number;
}

function createFixture(): Fixture {
    const calls: string[] = [];
    const chunks: Buffer[] = [];
    let takenBytes = 0;
    const body = CreditedBody.create({
        onFull: () => calls.push("full"),
        onRoom: () => calls.push("room"),
        onTaken: (bytes) => takenBytes += bytes,
        onCancel: () => calls.push("cancel"),
    });
    body.onSettled(() => calls.push("settled"));
    const start = (): void => body.start({
        handleChunk: (chunk) => chunks.push(chunk),
        handleEnd: (problem) => calls.push(`end ${problem ?? "whole"}`),
    });
    return { body, calls, chunks, start, takenBytes: () => takenBytes };
}

function sizeOf(chunks: readonly Buffer[]): number {
    return chunks.reduce((sum, { length }) => sum + length, 0);
}

// Guards against a process that holds the response of a reader that has stopped.
test("no more than the window is passed on until the reader takes some, and the source stops meanwhile", (t) => {
    const { body, calls, chunks, start, takenBytes } = createFixture();
    start();
    body.add(Buffer.alloc(BODY_WINDOW_BYTES + 1_000, "a"));
    body.flush();
    t.is(sizeOf(chunks), BODY_WINDOW_BYTES);
    t.deepEqual(calls, ["full"]);
    t.not(body.waitsSinceMs, undefined);
    body.grant(600);
    t.is(sizeOf(chunks), BODY_WINDOW_BYTES + 600);
    t.deepEqual(calls, ["full"]);
    body.grant(600);
    t.is(sizeOf(chunks), BODY_WINDOW_BYTES + 1_000);
    t.deepEqual(calls, ["full", "room"]);
    t.is(takenBytes(), BODY_WINDOW_BYTES + 1_000);
    t.is(body.waitsSinceMs, undefined);
});

// Guards against pieces that overtake earlier ones because they are not copied.
test("large pieces are passed on at once, in order, and only what exceeds the credit is held", (t) => {
    const { body, calls, chunks, start, takenBytes } = createFixture();
    start();
    const pieces = Array.from({ length: 6 }, (_value, number) => Buffer.alloc(50_000, number));
    body.add(Buffer.alloc(10, "a"));
    pieces.forEach((piece) => {
        body.add(piece);
        body.flush();
    });
    t.is(sizeOf(chunks), BODY_WINDOW_BYTES);
    body.grant(50_000);
    body.end();
    t.deepEqual(Buffer.concat(chunks), Buffer.concat([Buffer.alloc(10, "a"), ...pieces]));
    t.is(takenBytes(), 300_010);
    t.deepEqual(calls, ["full", "room", "settled", "end whole"]);
});

test("pieces are joined until they are flushed, and no chunk is larger than 64 KB", (t) => {
    const { body, chunks, start } = createFixture();
    start();
    for (let number = 0; number < 100_000; number += 1) {
        body.add(Buffer.from([number % 256]));
    }
    body.flush();
    t.deepEqual(chunks.map(({ length }) => length), [65_536, 34_464]);
    t.deepEqual(Buffer.concat(chunks), Buffer.from(Array.from({ length: 100_000 }, (_value, number) => number % 256)));
});

// Guards against a response that looks complete before its last byte has been passed on.
test("the end follows the last byte", (t) => {
    const { body, calls, chunks, start } = createFixture();
    body.add(Buffer.alloc(BODY_WINDOW_BYTES + 1));
    body.end();
    t.deepEqual(calls, ["full"]);
    start();
    t.is(sizeOf(chunks), BODY_WINDOW_BYTES);
    body.grant(1);
    t.is(sizeOf(chunks), BODY_WINDOW_BYTES + 1);
    t.deepEqual(calls, ["full", "settled", "end whole"]);
});

// Guards against a broken response that is passed on as whole, or to a reader that never hears of its end.
test("a body that breaks off ends with its problem at once, also before it was started", (t) => {
    const first = createFixture();
    first.start();
    first.body.add(Buffer.alloc(BODY_WINDOW_BYTES + 1));
    first.body.flush();
    first.body.breakOff("reset");
    first.body.breakOff("closed");
    first.body.grant(100);
    t.deepEqual(first.calls, ["full", "settled", "end reset"]);
    t.is(first.takenBytes(), BODY_WINDOW_BYTES + 1);
    const second = createFixture();
    second.body.breakOff("reset");
    second.start();
    t.deepEqual(second.calls, ["settled", "end the response broke off before it could be passed on"]);
});

test("a reader that leaves cancels the source, and hears nothing more", (t) => {
    const { body, calls, start, takenBytes } = createFixture();
    start();
    body.cancel();
    body.cancel();
    body.add(Buffer.alloc(10));
    body.end();
    body.breakOff("reset");
    t.deepEqual(calls, ["settled", "cancel"]);
    t.is(takenBytes(), 10);
});

// Guards against a peer that grants more than the window and so is sent a whole response.
test("credit does not exceed the window", (t) => {
    const { body, chunks, start } = createFixture();
    start();
    body.grant(10 * BODY_WINDOW_BYTES);
    body.add(Buffer.alloc(2 * BODY_WINDOW_BYTES));
    body.flush();
    t.is(sizeOf(chunks), BODY_WINDOW_BYTES);
});
