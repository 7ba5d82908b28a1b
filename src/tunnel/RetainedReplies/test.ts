import test from "ava";
import { GateReply } from "../GateReply.js";
import { GateReplyKind } from "../GateReplyKind.js";
import { RetainedReplies } from "./index.js";

const MEGABYTE = 1_024 * 1_024;
const ignoreRefusals = (): void => undefined;

function createAnswer(body: Buffer): GateReply {
    return { kind: GateReplyKind.Answered, answer: { status: 200, headers: [["a", "b"]], body }, load: undefined };
}

// Guards against a process that runs out of memory because many uploads are answered with large bodies within the time.
test("the bodies of the oldest replies are dropped if there are too many bytes, and those offers are then broken, not void", (t) => {
    const refusals: string[] = [];
    const replies = RetainedReplies.create((holder) => refusals.push(holder));
    for (let index = 0; index < 100; index += 1) {
        replies.put(`${index}`, createAnswer(Buffer.alloc(MEGABYTE)), index);
    }
    t.true(replies.sizeBytes <= 24 * MEGABYTE);
    t.is(replies.get("99")?.kind, GateReplyKind.Answered);
    t.is(replies.get("0")?.kind, GateReplyKind.Broken);
    t.true(refusals.every((holder) => holder === "bytes of retained replies") && refusals.length > 0);
});

// Guards against a request that runs twice: "void" says that an offer has not run, although only its reply was dropped.
test("while a reply that is not there any more may be asked for, an unknown offer is broken, and void again afterwards", (t) => {
    const replies = RetainedReplies.create(ignoreRefusals);
    t.is(replies.settleUnknown("before", 0).kind, GateReplyKind.Refused);
    for (let index = 0; index < 20_001; index += 1) {
        replies.put(`${index}`, { kind: GateReplyKind.Broken, problem: "", lostEndpoint: false }, 1_000);
    }
    t.is(replies.get("0"), undefined);
    t.is(replies.settleUnknown("0", 2_000).kind, GateReplyKind.Broken);
    replies.putVoid("cancelled before it started", 2_000);
    t.is(replies.get("cancelled before it started")?.kind, GateReplyKind.Refused);
    replies.removeExpired(31_500);
    t.is(replies.settleUnknown("another", 31_500).kind, GateReplyKind.Refused);
});

test("replies and voids are kept for their time and in bounded number", (t) => {
    const replies = RetainedReplies.create(ignoreRefusals);
    for (let index = 0; index < 50_000; index += 1) {
        replies.settleUnknown(`invented-${index}`, 0);
    }
    t.true(replies.count <= 10_000);
    replies.put("1", createAnswer(Buffer.alloc(10)), 10_000);
    replies.removeExpired(29_000);
    t.is(replies.get("1")?.kind, GateReplyKind.Answered);
    replies.removeExpired(41_000);
    t.is(replies.count, 0);
    t.is(replies.sizeBytes, 0);
});

test("a kept reply does not keep the larger buffer that its body is a part of", (t) => {
    const replies = RetainedReplies.create(ignoreRefusals);
    replies.put("1", createAnswer(Buffer.alloc(MEGABYTE).subarray(0, 10)), 0);
    const reply = replies.get("1");
    t.is(reply?.kind === GateReplyKind.Answered ? reply.answer.body.buffer.byteLength : undefined, 10);
});
