import test from "ava";
import { AttemptEnd } from "../AttemptEnd.js";
import { AttemptRecord } from "../AttemptRecord.js";
import { FaultKind } from "../FaultKind.js";
import { FaultRecord } from "../FaultRecord.js";
import { RouteKind } from "../RouteKind.js";
import { RunRecord } from "../RunRecord.js";
import { findViolations } from "./index.js";

const GRACE_MS = 6_000;
const ATTEMPT: AttemptRecord = {
    id: "a-1",
    vm: 0,
    kind: RouteKind.Unsafe,
    path: "/",
    deadlineMs: 6_000,
    sentAtMs: 10_000,
    isBehindAnother: false,
    end: AttemptEnd.Complete,
    endedAtMs: 10_500,
    status: 200,
    isGenuine: true,
};
const RUN: RunRecord = { attemptId: "a-1", vm: 1, callerService: "s", startedAtMs: 10_100, finishedAtMs: 10_400 };
const CUT: Partial<AttemptRecord> = { end: AttemptEnd.Closed, status: undefined, isGenuine: false };

function fault(kind: FaultKind, atMs: number, process = "proxy-0"): FaultRecord {
    return { kind, process, atMs, exit: undefined };
}

function find(attempt: Partial<AttemptRecord>, runs: readonly RunRecord[] = [RUN], faults: readonly FaultRecord[] = []): readonly string[] {
    const lines = findViolations({ attempts: [{ ...ATTEMPT, ...attempt }], runs, faults, graceMs: GRACE_MS, serviceOf: () => "s" });
    return lines.map((line) => line.split(" ")[0] ?? "");
}

test("a request that ran once and got its answer breaks nothing", (t) => {
    t.deepEqual(find({}), []);
});

test("a second run, a run behind a refusal, another body and another caller are found", (t) => {
    t.deepEqual(find({}, [RUN, RUN]), ["TWICE"]);
    t.deepEqual(find({ status: 503 }), ["REFUSED"]);
    t.deepEqual(find({ isGenuine: false }), ["MIXED"]);
    t.deepEqual(find({}, [{ ...RUN, callerService: "other" }]), ["UNASKED"]);
});

test("a connection that ends without the answer of a request that was passed on, or that was held, is a loss", (t) => {
    t.deepEqual(find(CUT), ["LOST"]);
    t.deepEqual(find(CUT, [], [fault(FaultKind.Terminate, 9_000)]), ["LOST"]);
    t.deepEqual(find({ ...CUT, endedAtMs: 10_100 }, []), []);
    t.deepEqual(find({ ...CUT, isBehindAnother: true }, []), []);
});

test("the time in which the soak itself did not run is not counted as waited for an answer", (t) => {
    const attempts = [{ ...ATTEMPT, ...CUT, endedAtMs: 10_700 }];
    const findWith = (fromMs: number, untilMs: number): number =>
        findViolations({ attempts, runs: [], faults: [], stalls: [{ fromMs, untilMs }], graceMs: GRACE_MS, serviceOf: () => "s" }).length;
    t.is(findWith(9_000, 10_400), 1);
    t.is(findWith(10_190, 11_000), 0);
});

test("an own failure in place of the answer is a loss if nothing had failed", (t) => {
    t.deepEqual(find({ status: 502, isGenuine: false }), ["LOST"]);
    t.deepEqual(find({ status: 502, isGenuine: false }, [RUN], [fault(FaultKind.Kill, 10_200, "proxy-1")]), []);
    t.deepEqual(find({ status: 502, isGenuine: false }, []), []);
});

test("a kill or a freeze of the proxy excuses a loss, and the kill at the end of the grace period does not", (t) => {
    t.deepEqual(find(CUT, [RUN], [fault(FaultKind.Kill, 10_400)]), []);
    t.deepEqual(find(CUT, [RUN], [fault(FaultKind.Thaw, 8_000)]), []);
    t.deepEqual(find(CUT, [RUN], [fault(FaultKind.Terminate, 4_500), fault(FaultKind.KillAfterGrace, 10_450)]), ["LOST"]);
});

test("a request that came early in the grace period and was still at work at its end is no loss", (t) => {
    const stop = fault(FaultKind.Terminate, 9_000);
    const atWork = { ...RUN, finishedAtMs: undefined };
    t.deepEqual(find({ ...CUT, endedAtMs: 14_500 }, [atWork], [stop]), []);
    t.deepEqual(find({ ...CUT, sentAtMs: 12_500, endedAtMs: 14_500 }, [atWork], [stop]), ["LOST"]);
});

test("a process that ends although nothing told it to is found", (t) => {
    t.deepEqual(find({}, [RUN], [fault(FaultKind.OwnEnd, 10_000, "control-0")]), ["OWN-END"]);
});
