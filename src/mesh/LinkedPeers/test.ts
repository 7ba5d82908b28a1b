import test from "ava";
import { LinkedPeers } from "./index.js";

// Guards against a process that grows with each name of a VM that has ever been linked.
test("a VM is forgotten some time after its last message, and sooner if there are too many", (t) => {
    const peers = LinkedPeers.create();
    peers.recordOpen("vm-1", "a", 0);
    peers.recordMessage("vm-1", 7, 1_000);
    peers.recordMessage("vm-1", undefined, 2_000);
    peers.recordOpen("vm-2", "b", 20_000);
    t.deepEqual([peers.lastMessageAtMs("vm-1"), peers.positionOf("vm-1"), peers.failureDomainOf("vm-1")], [2_000, 7, "a"]);
    peers.recordMessage("vm-2", 8, 40_000);
    t.deepEqual([peers.lastMessageAtMs("vm-1"), peers.positionOf("vm-1"), peers.failureDomainOf("vm-1")], [Number.NEGATIVE_INFINITY, 0, undefined]);
    for (let index = 0; index < 10_000; index += 1) {
        peers.recordOpen(`invented-${index}`, "a", 40_000);
        peers.recordMessage("vm-2", undefined, 40_000);
    }
    t.true(peers.size <= 4_096);
    t.is(peers.positionOf("vm-2"), 8);
});
