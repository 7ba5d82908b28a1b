import test from "ava";
import { createRandom } from "../../../../bench/soak/createRandom/index.js";
import { RequestKind } from "../../../model/RequestKind.js";
import { EndpointPhase } from "../../fleet/EndpointPhase.js";
import { GateLoadReport } from "../../fleet/GateLoadReport.js";
import { Grade } from "../../fleet/Grade.js";
import { TrialWish } from "../../suspicion/TrialWish.js";
import { PlacementCandidate } from "../PlacementCandidate.js";
import { rankGates } from "./index.js";

function candidate(vm: string, load: Partial<GateLoadReport> | undefined, overrides: Partial<PlacementCandidate> = {}): PlacementCandidate {
    const endpoint = {
        id: `i-${vm}`,
        bornAtMs: 1,
        sequence: 1,
        service: "s",
        phase: EndpointPhase.Ready,
        slots: 5,
        coldRemainingMs: 0,
    };
    const usual = {
        vm,
        running: 0,
        queued: 0,
        slots: 5,
        serviceMs: 100,
        grade: Grade.Trusted,
        suspicion: 0,
        trialWish: TrialWish.None,
        shedShare: 0,
        isIdle: false,
    };
    return {
        record: { vm, failureDomain: vm.slice(0, 1), gateAddress: "a:1", run: 1, sequence: 1, isOpen: true, endpoint },
        load: load === undefined ? undefined : { ...usual, ...load },
        offeredSince: 0,
        isReachable: true,
        isCold: false,
        hasRefused: false,
        ...overrides,
    };
}

function first(candidates: readonly PlacementCandidate[], requestKind = RequestKind.Once): string | undefined {
    return rankGates(candidates, requestKind, "z", createRandom(3))[0]?.record.vm;
}

test("a gate with free slots goes before a full one, and the shorter wait before the longer", (t) => {
    t.is(first([candidate("full", { running: 5, queued: 1 }), candidate("free", { running: 4 })]), "free");
    t.is(first([candidate("long", { running: 5, queued: 9 }), candidate("short", { running: 5, queued: 2 })]), "short");
});

test("what this entry has offered since the last report counts as load", (t) => {
    t.is(first([candidate("offered", {}, { offeredSince: 6 }), candidate("other", { running: 2 })]), "other");
});

test("work of all kinds avoids doubted endpoints, which fail second attempts as they failed the first", (t) => {
    const candidates = [candidate("doubted", { grade: Grade.Doubted }), candidate("trusted", { running: 1 })];
    t.is(first(candidates), "trusted");
    t.is(first(candidates, RequestKind.Repeatable), "trusted");
});

test("a slow endpoint that has had no work for a time gets some", (t) => {
    t.is(first([candidate("fast", { running: 3 }), candidate("slow", { serviceMs: 900, isIdle: true })]), "slow");
    t.is(first([candidate("fast", {}), candidate("slow", { serviceMs: 900, isIdle: true }, { offeredSince: 1 })]), "fast");
});

test("of endpoints that are alike, those that turn more away come later, and where all do none is left out", (t) => {
    t.is(first([candidate("sheds", { shedShare: 0.6 }), candidate("takes", { running: 2 })]), "takes");
    t.is(rankGates([candidate("a", { shedShare: 0.5 }), candidate("b", { shedShare: 0.5 })], RequestKind.Once, "z", createRandom(3)).length, 2);
});

test("an ejected endpoint comes last but for one that cannot be reached", (t) => {
    const candidates = [
        candidate("unreachable", {}, { isReachable: false }),
        candidate("ejected", { grade: Grade.Ejected }),
        candidate("full", { running: 5, queued: 40 }),
    ];
    t.deepEqual(rankGates(candidates, RequestKind.Once, "z", createRandom(3)).map(({ record }) => record.vm), ["full", "ejected", "unreachable"]);
});

test("an endpoint that has just joined gets its share although nothing is known of its speed", (t) => {
    const random = createRandom(5);
    let joined = 0;
    for (let draw = 0; draw < 300; draw += 1) {
        const fleet = [candidate("a", { running: 2 }), candidate("b", { running: 2 }), candidate("new", undefined, { isCold: true })];
        joined += rankGates(fleet, RequestKind.Repeatable, "z", random)[0]?.record.vm === "new" ? 1 : 0;
    }
    t.true(joined >= 100, `${joined} of 300`);
});

test("among equals the entry's own failure domain comes first", (t) => {
    t.is(first([candidate("a-1", {}), candidate("z-1", {}), candidate("b-1", {})]), "z-1");
});

test("a large answer is fetched from the own failure domain while there is a free slot, and from others before it waits long", (t) => {
    const near = candidate("z-1", { running: 4 });
    t.is(first([candidate("a-1", {}), near], RequestKind.Download), "z-1");
    t.is(first([candidate("a-1", {}), candidate("z-1", { running: 5, queued: 20 })], RequestKind.Download), "a-1");
});
