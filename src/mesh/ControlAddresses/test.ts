import test from "ava";
import { ControlAddresses } from "./index.js";

const PEER = { vm: "control-1", linkAddress: "10.0.0.1:7600", identity: "control-1:ab" };

// Guards against an odd entry that every process dials and passes on to all others.
test("what is no control VM is skipped among those that another process reports", (t) => {
    const addresses = ControlAddresses.create("10.0.0.9:7600");
    addresses.recordReported([
        undefined,
        null,
        "10.0.0.2:7600",
        { ...PEER, vm: "control-2", linkAddress: "10.0.0.2:99999" },
        { ...PEER, vm: "control-3", linkAddress: "10.0.0.3:0" },
        { ...PEER, vm: "control-4", linkAddress: "no address" },
        { ...PEER, vm: 5 },
        PEER,
    ]);
    addresses.recordAnnounced({ vm: "control-6" });
    t.deepEqual(addresses.peers, [PEER]);
});

// Guards against a control VM that ends when it passes on what it was sent.
test("fields that no control VM has are not kept", (t) => {
    const addresses = ControlAddresses.create("10.0.0.9:7600");
    addresses.recordReported([{ ...PEER, weight: 2n ** 60n }]);
    addresses.recordAnnounced({ ...PEER, vm: "control-2", weight: 2n ** 60n });
    t.deepEqual(addresses.peers, [PEER, { ...PEER, vm: "control-2" }]);
});
