import test from "ava";
import { StatedLimit } from "../StatedLimit.js";
import { StatedLimitKind } from "../StatedLimitKind.js";
import { EndpointLimiter } from "./index.js";

function rate(perSecond: number): StatedLimit {
    return { kind: StatedLimitKind.Rate, perSecond };
}

/** Sends as many requests as the limiter allows in a time, and returns how many that were. */
function sendAll(limiter: EndpointLimiter, fromMs: number, toMs: number): number {
    let sent = 0;
    for (let atMs = fromMs; atMs < toMs; atMs += 1) {
        while (limiter.waitMs(0, atMs) === 0) {
            limiter.recordSend(atMs);
            sent += 1;
        }
    }
    return sent;
}

test("without a limit a request may be sent at once, however many others go before it", (t) => {
    const limiter = EndpointLimiter.create();
    limiter.recordSend(0);
    t.is(limiter.waitMs(100, 0), 0);
    t.is(limiter.maxConcurrent(300), Number.POSITIVE_INFINITY);
});

test("a limit is used in full from its start, without a burst", (t) => {
    const limiter = EndpointLimiter.create();
    limiter.applyResponse(rate(2.5), 0, 0);
    t.is(limiter.waitMs(0, 0), 400);
    t.is(sendAll(limiter, 0, 4_001), 10);
});

test("after a pause no more than the burst of one second comes on top of the rate", (t) => {
    const limiter = EndpointLimiter.create();
    limiter.applyResponse(rate(3), 0, 0);
    t.is(sendAll(limiter, 60_000, 64_000), EndpointLimiter.maxRequests(3, 4_000) - 1);
});

test("a limit of zero leaves one request in two seconds, so that its end is noticed", (t) => {
    const limiter = EndpointLimiter.create();
    limiter.applyResponse(rate(0), 0, 0);
    t.is(limiter.waitMs(0, 0), 2_000);
    t.is(sendAll(limiter, 0, 10_001), 5);
});

test("an enormous limit allows everything", (t) => {
    const limiter = EndpointLimiter.create();
    limiter.applyResponse(rate(1e300), 0, 0);
    limiter.recordSend(0);
    t.is(limiter.waitMs(100, 1), 0);
});

test("a request that was sent without leave of the limit delays the next one", (t) => {
    const limiter = EndpointLimiter.create();
    limiter.applyResponse(rate(1), 0, 0);
    limiter.recordSend(0);
    t.is(limiter.waitMs(0, 0), 2_000);
    limiter.withdrawSend();
    t.is(limiter.waitMs(0, 0), 1_000);
});

test("the end of the limit ends the wait", (t) => {
    const limiter = EndpointLimiter.create();
    limiter.applyResponse(rate(1), 10, 20);
    t.true(limiter.applyResponse({ kind: StatedLimitKind.None }, 11, 30));
    t.is(limiter.waitMs(5, 30), 0);
});

test("the rate and the service time tell how many requests run at a time", (t) => {
    const limiter = EndpointLimiter.create();
    limiter.applyResponse(rate(5), 0, 0);
    t.is(limiter.maxConcurrent(300), 2);
    t.is(limiter.maxConcurrent(20), 1);
});

test("a gate that knows nothing adopts the lowest limit that entries know, with an empty bucket, until the first response", (t) => {
    const limiter = EndpointLimiter.create();
    t.true(limiter.adopt(4, 0));
    t.true(limiter.adopt(2, 0));
    t.false(limiter.adopt(3, 0));
    t.is(limiter.waitMs(0, 0), 500);
    t.true(limiter.applyResponse({ kind: StatedLimitKind.None }, 1, 2));
    t.false(limiter.adopt(2, 3));
    t.is(limiter.perSecond, undefined);
});

test("a gate that has had a response does not adopt what an entry was told before", (t) => {
    const limiter = EndpointLimiter.create();
    limiter.applyResponse(rate(5), 1, 2);
    t.false(limiter.adopt(2, 3));
    t.is(limiter.perSecond, 5);
});
