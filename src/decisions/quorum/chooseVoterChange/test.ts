import test from "ava";
import { chooseVoterChange } from "./index.js";

const VOTERS = ["a:1", "b:1", "c:1", "d:1", "e:1"];

test("a single voter adds other control VMs until the target count is reached", (t) => {
    t.deepEqual(chooseVoterChange({ voters: ["a:1"], live: ["a:1", "b:1"], lost: [], targetCount: 5 }), { identity: "b:1", isAddition: true });
    t.is(chooseVoterChange({ voters: VOTERS, live: [...VOTERS, "f:1"], lost: [], targetCount: 5 }), undefined);
});

test("a VM that returns with an empty disk replaces its old identity", (t) => {
    const live = ["a:1", "b:1", "c:1", "d:2"];
    t.deepEqual(chooseVoterChange({ voters: VOTERS, live, lost: [], targetCount: 5 }), { identity: "d:1", isAddition: false });
    const remaining = VOTERS.filter((voter) => voter !== "d:1");
    t.deepEqual(chooseVoterChange({ voters: remaining, live, lost: [], targetCount: 5 }), { identity: "d:2", isAddition: true });
});

test("a lost voter is removed only after another VM has been added as a voter", (t) => {
    const live = ["a:1", "b:1", "c:1", "d:1", "f:1"];
    t.deepEqual(chooseVoterChange({ voters: VOTERS, live, lost: ["e:1"], targetCount: 5 }), { identity: "f:1", isAddition: true });
    t.deepEqual(chooseVoterChange({ voters: [...VOTERS, "f:1"], live, lost: ["e:1"], targetCount: 5 }), { identity: "e:1", isAddition: false });
});

test("a lost voter stays while no other VM can replace it", (t) => {
    t.is(chooseVoterChange({ voters: VOTERS, live: VOTERS.slice(1), lost: ["a:1"], targetCount: 5 }), undefined);
});
