import FakeTimers from "@sinonjs/fake-timers";
import test from "ava";
import { EntryKind } from "../../decisions/quorum/EntryKind.js";
import { LogEntry } from "../../decisions/quorum/LogEntry.js";
import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { PendingCommits } from "./index.js";

const MEGABYTE = 1_024 * 1_024;

function createError(problem: string): FleetError {
    return FleetError.create({ step: Step.Apply, peer: "control-1" }, problem);
}

function barrier(index: number, term: number): LogEntry {
    return { index, term, kind: EntryKind.Barrier };
}

test("an entry is resolved when it is committed, and rejected when another leader's entry takes its place", async (t) => {
    const commits = PendingCommits.create();
    const kept = commits.add(1, 1, 0);
    const replaced = commits.add(2, 1, 0);
    commits.settle(barrier(1, 1), () => createError("replaced"));
    commits.settle(barrier(2, 2), () => createError("replaced"));
    await kept;
    await t.throwsAsync(replaced, { any: true, message: /replaced/ });
    t.is(commits.count, 0);
});

test("the number and the size of the entries that wait are limited, but a single one may have any size", (t) => {
    const commits = PendingCommits.create();
    t.true(commits.hasRoomFor(40 * MEGABYTE));
    void commits.add(1, 1, 10 * MEGABYTE);
    t.true(commits.hasRoomFor(6 * MEGABYTE));
    t.false(commits.hasRoomFor(6 * MEGABYTE + 1));
    commits.settle(barrier(1, 1), () => createError("replaced"));
    t.true(commits.hasRoomFor(40 * MEGABYTE));
    for (let index = 2; index < 258; index += 1) {
        t.true(commits.hasRoomFor(0));
        void commits.add(index, 1, 0);
    }
    t.false(commits.hasRoomFor(0));
});

test.serial("an entry that is late is rejected, but counts until it is decided", async (t) => {
    const clock = FakeTimers.install({ toFake: ["setTimeout", "clearTimeout"] });
    t.teardown(() => clock.uninstall());
    const commits = PendingCommits.create();
    const late = commits.add(1, 1, 0, () => createError("not stored yet by control-2"));
    clock.tick(4_000);
    await t.throwsAsync(late, { any: true, message: /not stored yet by control-2/ });
    t.is(commits.count, 1);
    commits.settle(barrier(1, 1), () => createError("replaced"));
    t.is(commits.count, 0);
});
