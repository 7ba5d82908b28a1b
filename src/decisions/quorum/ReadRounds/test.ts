import test from "ava";
import { ReadRounds } from "./index.js";

test("a read is confirmed by the first round that starts after it", (t) => {
    const rounds = ReadRounds.create();
    rounds.add(1);
    t.true(rounds.startNext(0));
    t.deepEqual(rounds.takeConfirmed(0), []);
    rounds.add(2);
    t.false(rounds.startNext(0), "the first round is not confirmed yet");
    t.true(rounds.startNext(1));
    t.deepEqual(rounds.takeConfirmed(1), [1]);
    t.deepEqual(rounds.takeConfirmed(2), [2]);
    t.false(rounds.startNext(2), "nobody waits");
    t.is(rounds.round, 2);
});

test("reads that are removed are not confirmed later", (t) => {
    const rounds = ReadRounds.create();
    rounds.add(1);
    rounds.startNext(0);
    rounds.clear();
    t.deepEqual(rounds.takeConfirmed(1), []);
});
