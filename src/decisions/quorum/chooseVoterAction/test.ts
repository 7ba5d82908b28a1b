import test from "ava";
import { chooseVoterAction } from "./index.js";

const VOTERS = ["a:1", "b:1", "c:1", "d:1", "e:1"];

test("a founder alone adds the others until there are as many as wanted", (t) => {
    t.deepEqual(chooseVoterAction({ voters: ["a:1"], live: ["a:1", "b:1"], lost: [], wanted: 5 }), { identity: "b:1", add: true });
    t.is(chooseVoterAction({ voters: VOTERS, live: [...VOTERS, "f:1"], lost: [], wanted: 5 }), undefined);
});

test("a VM that is back with an empty disk takes the place of its former self", (t) => {
    const live = ["a:1", "b:1", "c:1", "d:2"];
    t.deepEqual(chooseVoterAction({ voters: VOTERS, live, lost: [], wanted: 5 }), { identity: "d:1", add: false });
    const left = VOTERS.filter((voter) => voter !== "d:1");
    t.deepEqual(chooseVoterAction({ voters: left, live, lost: [], wanted: 5 }), { identity: "d:2", add: true });
});

test("a lost voter is removed only after another VM has been added", (t) => {
    const live = ["a:1", "b:1", "c:1", "d:1", "f:1"];
    t.deepEqual(chooseVoterAction({ voters: VOTERS, live, lost: ["e:1"], wanted: 5 }), { identity: "f:1", add: true });
    t.deepEqual(chooseVoterAction({ voters: [...VOTERS, "f:1"], live, lost: ["e:1"], wanted: 5 }), { identity: "e:1", add: false });
});

test("a lost voter stays while there is no other VM to take its place", (t) => {
    t.is(chooseVoterAction({ voters: VOTERS, live: VOTERS.slice(1), lost: ["a:1"], wanted: 5 }), undefined);
});
