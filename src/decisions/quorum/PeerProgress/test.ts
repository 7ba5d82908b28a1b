import test from "ava";
import { PeerProgress } from "./index.js";

const LAST_INDEX = 7;

test("the leader does not track each identity under which a VM has come back in its term", (t) => {
    const progress = PeerProgress.create("a:1");
    progress.reset(["b:1"], LAST_INDEX, 0);
    for (let identity = 1; identity <= 1_000; identity += 1) {
        progress.limit(["a:1", "b:1", `b:${identity}`]);
        progress.nextIndex(`b:${identity}`, LAST_INDEX);
        progress.recordReply(`b:${identity}`, true, LAST_INDEX, identity);
    }
    t.true(progress.contacts(LAST_INDEX, 1_000).length <= 4);
    t.deepEqual(progress.contacts(LAST_INDEX, 1_000).find(({ identity }) => identity === "b:1"), {
        identity: "b:1",
        silentMs: 999,
        hasReplied: true,
        hasCaughtUp: true,
    });
});

test("a peer that has not replied in the term is silent since its start", (t) => {
    const progress = PeerProgress.create("a:1");
    progress.reset(["b:1"], LAST_INDEX, 100);
    t.deepEqual(progress.contacts(LAST_INDEX, 400), [{ identity: "b:1", silentMs: 300, hasReplied: false, hasCaughtUp: false }]);
    progress.recordReply("b:1", false, 3, 400);
    t.deepEqual(progress.contacts(LAST_INDEX, 450), [{ identity: "b:1", silentMs: 50, hasReplied: true, hasCaughtUp: false }]);
});
