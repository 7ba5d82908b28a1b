import FakeTimers, { type Clock } from "@sinonjs/fake-timers";
import test, { type ExecutionContext } from "ava";
import { ControlGroup } from "../bench/quorum/ControlGroup/index.js";
import { DiskProfile } from "../bench/quorum/DiskProfile.js";
import { DiskProfileKind } from "../bench/quorum/DiskProfileKind.js";
import { EventLog } from "../src/logs/EventLog/index.js";

const VM_COUNT = 5;
const STEP_MS = 10;
/** Time after which a fleet that was restarted has to serve again, in ms. */
const RECOVERY_MS = 15_000;
const SEEDS = [1, 2, 3, 4, 5];

function steady(syncMs: number): DiskProfile {
    return { kind: DiskProfileKind.Steady, syncMs };
}

interface Run {
    readonly group: ControlGroup;
    readonly clock: Clock;
}

async function create(t: ExecutionContext, seed: number): Promise<Run> {
    const clock = FakeTimers.install({ toFake: ["setInterval", "clearInterval", "setTimeout", "clearTimeout", "performance", "Date"] });
    const group = await ControlGroup.create(seed, VM_COUNT, EventLog.create("control", undefined));
    t.teardown(() => {
        group.losePower();
        clock.uninstall();
    });
    return { group, clock };
}

async function advance({ clock }: Run, durationMs: number, check: () => void = () => undefined): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
        await clock.tickAsync(STEP_MS);
        check();
    }
}

/** Returns the time until one control VM is the ready leader, in ms; infinite if none is within the limit. */
async function waitForLeader(run: Run, limitMs: number): Promise<number> {
    for (let passedMs = 0; passedMs < limitMs; passedMs += STEP_MS) {
        if (run.group.readyLeaders.length === 1) {
            return passedMs;
        }
        await run.clock.tickAsync(STEP_MS);
    }
    return Number.POSITIVE_INFINITY;
}

async function isDone(run: Run, operation: Promise<boolean>, limitMs: number): Promise<boolean> {
    let result: boolean | undefined;
    void operation.then((value) => result = value);
    for (let passedMs = 0; passedMs < limitMs && result === undefined; passedMs += STEP_MS) {
        await run.clock.tickAsync(STEP_MS);
    }
    return result === true;
}

for (const syncMs of [0, 30, 100, 200]) {
    for (const liveCount of [5, 3]) {
        test.serial(`${liveCount} of 5 control VMs whose disks take ${syncMs} ms a sync have a leader within 15 s of a loss of power`, async (t) => {
            for (const seed of SEEDS) {
                const run = await create(t, seed);
                run.group.setProfile(steady(syncMs));
                await run.group.start(liveCount);
                const elapsedMs = await waitForLeader(run, RECOVERY_MS);
                t.log(`seed ${seed}: ${elapsedMs} ms, term ${run.group.term}`);
                t.true(elapsedMs < RECOVERY_MS, `seed ${seed}`);
                t.true(await isDone(run, run.group.read(), RECOVERY_MS), `read, seed ${seed}`);
                run.group.losePower();
                run.clock.uninstall();
            }
        });
    }
}

test.serial("control VMs whose disks take 400 ms a sync elect a leader that stays and commits changes", async (t) => {
    for (const seed of SEEDS) {
        const run = await create(t, seed);
        run.group.setProfile(steady(400));
        await run.group.start();
        t.true(await waitForLeader(run, 2 * RECOVERY_MS) < 2 * RECOVERY_MS, `seed ${seed}`);
        const { term, readyLeaders } = run.group;
        for (let count = 0; count < 10; count += 1) {
            t.true(await isDone(run, run.group.change(), RECOVERY_MS), `change ${count}, seed ${seed}`);
            await advance(run, 2_000);
        }
        t.deepEqual([run.group.term, run.group.readyLeaders], [term, readyLeaders], `seed ${seed}`);
        run.group.losePower();
        run.clock.uninstall();
    }
});

for (const syncMs of [100, 250, 400, 1_000]) {
    test.serial(`a leader stays in office while disks turn to ${syncMs} ms a sync and changes are committed`, async (t) => {
        for (const seed of SEEDS) {
            const run = await create(t, seed);
            await run.group.start();
            t.true(await waitForLeader(run, RECOVERY_MS) < RECOVERY_MS);
            const { term, readyLeaders } = run.group;
            run.group.setProfile(steady(syncMs));
            for (let count = 0; count < 10; count += 1) {
                t.true(await isDone(run, run.group.change(), RECOVERY_MS), `change ${count}, seed ${seed}`);
                await advance(run, 500, () => t.true(run.group.readyLeaders.length === 1, `seed ${seed}`));
            }
            t.deepEqual([run.group.term, run.group.readyLeaders], [term, readyLeaders], `seed ${seed}`);
            run.group.losePower();
            run.clock.uninstall();
        }
    });
}

test.serial("a leader whose disk hangs gives way to another one, and terms do not grow once that one leads", async (t) => {
    for (const seed of SEEDS) {
        const run = await create(t, seed);
        await run.group.start();
        t.true(await waitForLeader(run, RECOVERY_MS) < RECOVERY_MS);
        const [hung = ""] = run.group.readyLeaders;
        run.group.setProfile({ kind: DiskProfileKind.Hung }, [hung]);
        await isDone(run, run.group.change(), 100);
        await advance(run, RECOVERY_MS);
        t.is(run.group.readyLeaders.length, 1, `seed ${seed}`);
        t.not(run.group.readyLeaders[0], hung, `seed ${seed}`);
        const { term } = run.group;
        t.true(await isDone(run, run.group.change(), RECOVERY_MS), `seed ${seed}`);
        await advance(run, 60_000);
        t.is(run.group.term, term, `seed ${seed}`);
        run.group.losePower();
        run.clock.uninstall();
    }
});

test.serial("control VMs with uneven disks elect a leader within 15 s of a loss of power, which stays", async (t) => {
    for (const seed of SEEDS) {
        const run = await create(t, seed);
        run.group.setProfile({ kind: DiskProfileKind.Uneven, syncMs: 20, slowSyncMs: 700, slowShare: 0.2 });
        await run.group.start();
        t.true(await waitForLeader(run, RECOVERY_MS) < RECOVERY_MS, `seed ${seed}`);
        const { term } = run.group;
        for (let count = 0; count < 20; count += 1) {
            t.true(await isDone(run, run.group.change(), RECOVERY_MS), `change ${count}, seed ${seed}`);
            await advance(run, 500);
        }
        t.is(run.group.term, term, `seed ${seed}`);
        run.group.losePower();
        run.clock.uninstall();
    }
});

test.serial("reads of a leader in a burst do not write to the log", async (t) => {
    const run = await create(t, 1);
    await run.group.start();
    t.true(await waitForLeader(run, RECOVERY_MS) < RECOVERY_MS);
    run.group.setProfile({ kind: DiskProfileKind.Hung });
    const reads = await Promise.all(Array.from({ length: 20 }, () => isDone(run, run.group.read(), 1_000)));
    t.deepEqual(reads, Array.from({ length: 20 }, () => true));
});

test.serial("while the disks of a majority hang, changes are refused in bounded time and number, and accepted once they work again", async (t) => {
    const run = await create(t, 1);
    await run.group.start();
    t.true(await waitForLeader(run, RECOVERY_MS) < RECOVERY_MS);
    const { term, readyLeaders } = run.group;
    const followers = run.group.names.filter((name) => !readyLeaders.includes(name));
    run.group.setProfile({ kind: DiskProfileKind.Hung }, followers.slice(1));
    const outcomes: boolean[] = [];
    const changes = Array.from({ length: 300 }, () => run.group.change().then((isAccepted) => void outcomes.push(isAccepted)));
    await advance(run, 200);
    t.is(outcomes.length, 300 - 256, "no more wait than the limit");
    await advance(run, 5_000);
    await Promise.all(changes);
    t.false(outcomes.includes(true));
    run.group.setProfile(steady(0));
    await advance(run, 1_000);
    t.true(await isDone(run, run.group.change(), RECOVERY_MS));
    t.deepEqual([run.group.term, run.group.readyLeaders], [term, readyLeaders]);
});
