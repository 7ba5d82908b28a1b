import test from "ava";
import { MessageKind } from "../MessageKind.js";
import { packHeartbeat } from "../packHeartbeat/index.js";
import { unpackHeartbeat } from "./index.js";

// Guards against a link that counts as lost, or a proxy that misses a configuration, because a field got lost or mixed up.
test("a packed heartbeat is unpacked unchanged", (t) => {
    const heartbeat = { kind: MessageKind.Heartbeat as const, sequence: 70_000, heard: 6, position: { term: 3, version: 12, manifestVersion: 9 } };
    t.deepEqual(unpackHeartbeat(packHeartbeat(heartbeat), "vm-1"), heartbeat);
});

// Guards against a malformed heartbeat that is taken for one with positions that are not numbers.
test("a list that is no heartbeat is rejected", (t) => {
    for (const numbers of [[], [1, 2, 3, 4], [1, 2, 3, 4, "5"], [1, 2, 3, 4, Number.NaN], [1, undefined, 3, 4, 5]]) {
        t.throws(() => unpackHeartbeat(numbers, "vm-1"), { any: true, message: /not a heartbeat/ });
    }
});
