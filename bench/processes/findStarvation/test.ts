import test from "ava";
import { AbuseRecord } from "../AbuseRecord.js";
import { AttemptEnd } from "../AttemptEnd.js";
import { AttemptRecord } from "../AttemptRecord.js";
import { RouteKind } from "../RouteKind.js";
import { findStarvation } from "./index.js";

const COUNT = 100;
const CALM = { fromMs: 1_000, untilMs: 9_000 };
const ABUSE: AbuseRecord = { process: "proxy-1", description: "chunks", startedAtMs: 2_000, endedAtMs: 4_000 };

const REQUEST = { kind: RouteKind.Safe, path: "/", deadlineMs: 6_000, isBehindAnother: false, end: AttemptEnd.Complete };

function createAttempts(failed: number, vm = 1, sentAtMs = 3_000): readonly AttemptRecord[] {
    return Array.from({ length: COUNT }, (_value, index) => ({
        ...REQUEST,
        id: `a-${index}`,
        vm,
        sentAtMs,
        endedAtMs: sentAtMs + 500,
        status: index < failed ? 503 : 200,
        isGenuine: index >= failed,
    }));
}

function find(attempts: readonly AttemptRecord[], refusedCount = 0, abuses = [ABUSE]): number {
    const refusals = Array.from({ length: refusedCount }, () => ({ vm: 1, atMs: 2_500 }));
    return findStarvation({ attempts, refusals, abuses, calms: [CALM], proxyCount: 2 }).length;
}

test("a machine that fails more than a tenth of the ordinary requests while it is abused is found", (t) => {
    t.is(find(createAttempts(11)), 1);
    t.is(find(createAttempts(10)), 0);
    t.is(find(createAttempts(0), 12), 1);
});

test("failures at another machine, before the abuse, or beside signals or a flood of proper requests are no starvation by an abuse", (t) => {
    t.is(find(createAttempts(COUNT, 0)), 0);
    t.is(find(createAttempts(COUNT, 1, 1_500)), 0);
    t.is(find(createAttempts(COUNT, 1, 8_800)), 0);
    t.is(find(createAttempts(COUNT), 0, [ABUSE, { ...ABUSE, process: "proxy-0", isLoad: true }]), 0);
});
