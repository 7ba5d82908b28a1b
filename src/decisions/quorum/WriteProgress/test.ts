import test from "ava";
import { WriteProgress } from "./index.js";

test("a log is stored up to the first entry of the writes that are pending", (t) => {
    const writes = WriteProgress.create();
    t.is(writes.syncedIndex(9), 9);
    const first = writes.start(false, 8);
    const truncation = writes.start(false, 5);
    t.is(writes.syncedIndex(9), 4);
    writes.recordSynced(first);
    t.is(writes.syncedIndex(9), 4);
    writes.recordSynced(truncation);
    t.is(writes.syncedIndex(9), 9);
    t.false(writes.isPending);
});

test("a term and a vote are pending until their write is synced, and change no entry", (t) => {
    const writes = WriteProgress.create();
    const vote = writes.start(true, Number.POSITIVE_INFINITY);
    const entries = writes.start(false, 3);
    t.true(writes.hasPendingHardState());
    t.is(writes.syncedIndex(3), 2);
    writes.recordSynced(vote);
    t.false(writes.hasPendingHardState());
    t.true(writes.isPending);
    writes.recordSynced(entries);
    t.false(writes.isPending);
});
