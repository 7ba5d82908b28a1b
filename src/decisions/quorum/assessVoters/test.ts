import test from "ava";
import { PeerContact } from "../PeerContact.js";
import { VoterState } from "../VoterState.js";
import { assessVoters } from "./index.js";

const VOTERS = ["a:1", "b:1", "c:1", "d:1", "e:1"];

function contact(identity: string, silentMs = 0, hasReplied = true, hasCaughtUp = true): PeerContact {
    return { identity, silentMs, hasReplied, hasCaughtUp };
}

function statesOf(voters: readonly string[], contacts: readonly PeerContact[]): readonly VoterState[] {
    return assessVoters(voters, contacts).voters.map(({ state }) => state);
}

test("voters that reply are live, and bear as many losses as leave a majority", (t) => {
    const { voters, spares, toleratedLosses } = assessVoters(VOTERS, VOTERS.map((identity) => contact(identity)));
    t.deepEqual(voters.map(({ state }) => state), VOTERS.map(() => VoterState.Live));
    t.deepEqual(spares, []);
    t.is(toleratedLosses, 2);
});

test("a voter without a reply is silent at first and lost after 2.5 s", (t) => {
    t.deepEqual(statesOf(["a:1", "b:1", "c:1"], [contact("a:1"), contact("b:1", 1_600), contact("c:1", 2_600)]), [VoterState.Live, VoterState.Silent, VoterState.Lost]);
});

test("an identity that the leader has never sent anything to is lost", (t) => {
    t.deepEqual(statesOf(["a:1", "b:1"], [contact("a:1")]), [VoterState.Live, VoterState.Lost]);
});

test("a voter is superseded by a later identity of its VM, whether that one votes or not", (t) => {
    const contacts = [contact("a:1"), contact("b:1", 800), contact("b:2", 50), contact("c:1", 800), contact("c:2", 50)];
    t.deepEqual(statesOf(["a:1", "b:1", "c:1", "c:2"], contacts), [VoterState.Live, VoterState.Superseded, VoterState.Superseded, VoterState.Live]);
});

test("a voter that replies after another identity of its VM is not superseded", (t) => {
    t.deepEqual(statesOf(["a:1", "b:2"], [contact("a:1"), contact("b:1", 800), contact("b:2", 50)]), [VoterState.Live, VoterState.Live]);
});

test("an identity that has not replied in this term supersedes none", (t) => {
    t.deepEqual(statesOf(["a:1", "b:1"], [contact("a:1"), contact("b:1", 300), contact("b:2", 0, false)]), [VoterState.Live, VoterState.Live]);
});

test("voters without a disk are not counted among those that bear losses", (t) => {
    const contacts = [contact("a:1", 500), contact("a:2"), contact("b:1"), contact("c:1"), contact("d:1")];
    t.is(assessVoters(["a:1", "b:1", "c:1", "d:1", "a:2"], contacts).toleratedLosses, 1);
});

test("live identities without a vote are spares, those that have caught up first; former identities are not", (t) => {
    const contacts = [contact("a:1"), contact("b:1", 400), contact("b:2", 0, true, false), contact("c:1", 0), contact("d:1", 1_600)];
    t.deepEqual(assessVoters(["a:1"], contacts).spares, [{ identity: "c:1", hasCaughtUp: true }, { identity: "b:2", hasCaughtUp: false }]);
});
