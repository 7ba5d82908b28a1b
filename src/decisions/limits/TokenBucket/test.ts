import test from "ava";
import { TokenBucket } from "./index.js";

test("a full bucket allows a burst, then one token at a time", (t) => {
    const bucket = TokenBucket.create(2, 3, 0);
    t.deepEqual([0, 0, 0, 0].map((atMs) => bucket.take(atMs)), [0, 0, 0, 500]);
    t.is(bucket.take(499), 1);
    t.is(bucket.take(500), 0);
});

test("an empty bucket allows the first token after its interval", (t) => {
    const bucket = TokenBucket.createEmpty(4, 4, 1_000);
    t.is(bucket.waitMs(1, 1_000), 250);
    t.is(bucket.waitMs(3, 1_000), 750);
    t.is(bucket.take(1_250), 0);
});

test("a token taken ahead delays the later ones, and one given back brings them forward", (t) => {
    const bucket = TokenBucket.createEmpty(1, 1, 0);
    bucket.takeAhead(0);
    t.is(bucket.waitMs(1, 0), 2_000);
    bucket.giveBack();
    t.is(bucket.waitMs(1, 0), 1_000);
});

test("tokens given back do not exceed the capacity", (t) => {
    const bucket = TokenBucket.create(1, 1, 0);
    bucket.giveBack();
    t.is(bucket.take(0), 0);
    t.is(bucket.take(0), 1_000);
});

test("a lower rate applies at once and cuts the burst", (t) => {
    const bucket = TokenBucket.create(10, 10, 0);
    bucket.setRate(1, 1, 0);
    t.is(bucket.take(0), 0);
    t.is(bucket.take(0), 1_000);
});
