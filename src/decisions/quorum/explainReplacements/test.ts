import test from "ava";
import { VoterAssessment } from "../VoterAssessment.js";
import { VoterChange } from "../VoterChange.js";
import { VoterState } from "../VoterState.js";
import { VoterWait } from "../VoterWait.js";
import { explainReplacements } from "./index.js";

const VOTERS = [
    { identity: "a:1", state: VoterState.Live },
    { identity: "b:1", state: VoterState.Superseded },
    { identity: "c:1", state: VoterState.Silent },
];

function waitsOf(assessment: Partial<VoterAssessment>, change?: VoterChange): readonly (readonly [string, VoterWait])[] {
    return explainReplacements({ voters: VOTERS, spares: [], toleratedLosses: 0, ...assessment }, change)
        .map(({ identity, waitsFor }) => [identity, waitsFor] as const);
}

test("a voter that replies is not to be replaced", (t) => {
    t.deepEqual(waitsOf({ voters: VOTERS.slice(0, 1) }), []);
});

test("a silent voter may return, and another one waits for a spare that has caught up", (t) => {
    t.deepEqual(waitsOf({}), [["b:1", VoterWait.Spare], ["c:1", VoterWait.Return]]);
    t.deepEqual(waitsOf({ spares: [{ identity: "b:2", hasCaughtUp: false }] }), [["b:1", VoterWait.CatchUp], ["c:1", VoterWait.Return]]);
});

test("while one voter is being removed, the others wait for that change", (t) => {
    t.deepEqual(waitsOf({}, { identity: "b:1", isAddition: false }), [["b:1", VoterWait.Commit], ["c:1", VoterWait.OtherChange]]);
});
