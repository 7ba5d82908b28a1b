import test from "ava";
import { AttemptEnd } from "../AttemptEnd.js";
import { AttemptRecord } from "../AttemptRecord.js";
import { RouteKind } from "../RouteKind.js";
import { RunRecord } from "../RunRecord.js";
import { SOAK_ORGANISATIONS } from "../soakOrganisations.js";
import { UNKNOWN_KEY } from "../unknownKey.js";
import { findKeyViolations } from "./index.js";

const { unlimited, exceeding } = SOAK_ORGANISATIONS;
const ATTEMPT: AttemptRecord = {
    id: "a-1",
    vm: 0,
    kind: RouteKind.Safe,
    path: "/",
    deadlineMs: 6_000,
    sentAtMs: 10_000,
    isBehindAnother: false,
    end: AttemptEnd.Complete,
    endedAtMs: 10_500,
    status: 200,
    isGenuine: true,
    apiKey: unlimited.apiKey,
};
const RUN: RunRecord = {
    attemptId: "a-1",
    vm: 1,
    callerService: "s",
    startedAtMs: 10_100,
    finishedAtMs: 10_400,
    tenant: unlimited.name,
    hasKey: false,
};

function find(attempt: Partial<AttemptRecord>, ...runs: readonly Partial<RunRecord>[]): readonly string[] {
    return findKeyViolations([{ ...ATTEMPT, ...attempt }], runs.map((run) => ({ ...RUN, ...run }))).map((line) => line.split(" ")[0] ?? "");
}

test("a request that runs for its organisation, one without a key and one that is denied break nothing", (t) => {
    t.deepEqual(find({}, {}), []);
    t.deepEqual(find({ apiKey: undefined }, { tenant: undefined }), []);
    t.deepEqual(find({ apiKey: UNKNOWN_KEY, status: 401 }), []);
    t.deepEqual(find({ apiKey: UNKNOWN_KEY, status: 503 }), []);
    t.deepEqual(find({ apiKey: exceeding.apiKey, status: 429 }), []);
});

test("a key that is passed on, another name, a denied key and an unknown one that is served are found", (t) => {
    t.deepEqual(find({}, { hasKey: true }), ["TENANT"]);
    t.deepEqual(find({}, { tenant: "forged" }), ["TENANT"]);
    t.deepEqual(find({ apiKey: undefined }, { tenant: "forged" }), ["TENANT"]);
    t.deepEqual(find({ status: 401 }), ["KEY"]);
    t.deepEqual(find({ apiKey: UNKNOWN_KEY }, { tenant: undefined }), ["KEY", "KEY"]);
    t.deepEqual(find({ status: 429 }), ["QUOTA"]);
});

test("more requests than the bound in a window are found", (t) => {
    const attempts = Array.from({ length: 47 }, (_, index) => ({ ...ATTEMPT, id: `${index}`, apiKey: exceeding.apiKey, sentAtMs: 100 * index }));
    const runs = attempts.map(({ id }) => ({ ...RUN, attemptId: id, tenant: exceeding.name }));
    t.is(findKeyViolations(attempts, runs).length, 1);
    t.is(findKeyViolations(attempts.slice(1), runs).length, 0);
});
