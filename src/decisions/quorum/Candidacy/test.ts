import test from "ava";
import { Candidacy } from "./index.js";

const VOTERS = ["a", "b", "c", "d", "e"];

function createCandidate(preVoters: readonly string[]): Candidacy {
    const candidacy = Candidacy.create("a");
    preVoters.forEach((voter) => candidacy.recordPreVote(voter, 0));
    candidacy.start(2, VOTERS, 0);
    return candidacy;
}

test("a pre-vote counts for an election timeout, and not in the next term", (t) => {
    const candidacy = Candidacy.create("a");
    candidacy.recordPreVote("b", 0);
    candidacy.recordPreVote("c", 500);
    t.deepEqual(candidacy.preVoters(VOTERS, 999), ["a", "b", "c"]);
    t.deepEqual(candidacy.preVoters(VOTERS, 1_000), ["a", "c"]);
    candidacy.endTerm();
    t.deepEqual(candidacy.preVoters(VOTERS, 1_000), ["a"]);
});

test("only votes of the term of the candidacy count, and only of voters", (t) => {
    const candidacy = createCandidate(["b", "c"]);
    t.false(candidacy.recordVote("b", 1, true));
    t.true(candidacy.recordVote("c", 2, true));
    t.true(candidacy.recordVote("x", 2, true));
    t.deepEqual(candidacy.votersFor(VOTERS), ["c"]);
    t.false(Candidacy.create("a").recordVote("b", 2, true), "a VM that has not stood since its start");
});

test("an election is lost once those who granted a pre-vote have refused too often for a majority", (t) => {
    const withAll = createCandidate(["b", "c", "d", "e"]);
    withAll.recordVote("b", 2, false);
    withAll.recordVote("c", 2, false);
    t.false(withAll.hasLost(VOTERS));
    withAll.recordVote("d", 2, false);
    t.true(withAll.hasLost(VOTERS));
    const withThree = createCandidate(["b", "c"]);
    withThree.recordVote("b", 2, false);
    t.true(withThree.hasLost(VOTERS), "the other two may not be there");
});

test("elections are counted until there is a leader, and a candidate is favoured once a term", (t) => {
    const candidacy = createCandidate([]);
    candidacy.start(3, VOTERS, 0);
    t.is(candidacy.elections, 2);
    candidacy.recordLeader();
    t.is(candidacy.elections, 0);
    t.deepEqual([candidacy.favour("b"), candidacy.favour("b"), candidacy.favour("c")], [true, false, true]);
    candidacy.endTerm();
    t.true(candidacy.favour("b"));
});
