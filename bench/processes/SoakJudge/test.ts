import test from "ava";
import { AttemptEnd } from "../AttemptEnd.js";
import { AttemptRecord } from "../AttemptRecord.js";
import { FaultKind } from "../FaultKind.js";
import { FaultRecord } from "../FaultRecord.js";
import { RouteKind } from "../RouteKind.js";
import { RunRecord } from "../RunRecord.js";
import { SoakJudge } from "./index.js";

const REQUEST = { vm: 0, kind: RouteKind.Unsafe, path: "/", deadlineMs: 6_000, isBehindAnother: false };
const ENDED = { ...REQUEST, end: AttemptEnd.Complete, status: 200, isGenuine: true };

const createAttempt = (id: string, endedAtMs: number): AttemptRecord => ({ ...ENDED, id, sentAtMs: endedAtMs - 100, endedAtMs });

function createRun(attemptId: string, startedAtMs: number): RunRecord {
    return { attemptId, vm: 0, callerService: "s", startedAtMs, finishedAtMs: startedAtMs + 10 };
}

test("a long run judges each request and each own end once, and drops what it has judged", (t) => {
    const ownEnd: FaultRecord = { kind: FaultKind.OwnEnd, process: "control-0", atMs: 1_000, exit: "SIGABRT" };
    const attempts = [createAttempt("old", 1_000), createAttempt("new", 100_000)];
    const runs = [createRun("old", 950), createRun("old", 960), createRun("new", 99_950), createRun("x-1", 960)];
    const records = { attempts, refusals: [], runs, faults: [ownEnd], abuses: [], calms: [], stalls: [] };
    const judge = SoakJudge.create(records, { graceMs: 6_000, proxyCount: 1, serviceOf: () => "s" });
    judge.judgeAged(101_000);
    t.deepEqual(judge.violations.map((line) => line.split(" ")[0]), ["OWN-END", "TWICE"]);
    t.deepEqual([attempts, runs, records.faults].map(({ length }) => length), [1, 1, 0]);
    judge.judgeAll();
    t.is(judge.violations.length, 2);
    t.deepEqual([judge.requests, judge.served, judge.faults], [2, 2, 1]);
});
