import test from "ava";
import { EndpointPhase } from "../../fleet/EndpointPhase.js";
import { Grade } from "../../fleet/Grade.js";
import { PlacementCandidate } from "../PlacementCandidate.js";
import { keptByFloor } from "./index.js";

function candidate(vm: string, grade: Grade, suspicion = 0): PlacementCandidate {
    const endpoint = { id: vm, bornAtMs: 1, sequence: 1, service: "s", phase: EndpointPhase.Ready, slots: 5, coldRemainingMs: 0 };
    return {
        record: { vm, failureDomain: "d", gateAddress: "a:1", run: 1, sequence: 1, isOpen: true, endpoint },
        load: { vm, running: 0, queued: 0, slots: 5, serviceMs: 100, grade, suspicion, wantsTrial: false },
        offeredSince: 0,
        isReachable: true,
        isCold: false,
        hasRefused: false,
    };
}

test("up to three of ten endpoints may be ejected", (t) => {
    const fleet = Array.from({ length: 10 }, (_, index) => candidate(`vm-${index}`, index < 3 ? Grade.Ejected : Grade.Trusted, 6));
    t.is(keptByFloor(fleet).size, 0);
});

test("of more, those with the least evidence against them stay in service", (t) => {
    const fleet = Array.from({ length: 10 }, (_, index) => candidate(`vm-${index}`, index < 6 ? Grade.Ejected : Grade.Trusted, index));
    t.deepEqual([...keptByFloor(fleet)].sort(), ["vm-0", "vm-1", "vm-2"]);
});

test("a service of which all endpoints fail keeps at least seven of ten", (t) => {
    const fleet = Array.from({ length: 9 }, (_, index) => candidate(`vm-${index}`, Grade.Ejected, 6));
    t.is(keptByFloor(fleet).size, 7);
});
