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

// Guards against a process that dials, and passes on, every control VM that one faulty process has invented.
test("there is a limit to the control VMs, but one that announces itself replaces one that was only reported", (t) => {
    const addresses = ControlAddresses.create("10.0.0.9:7600");
    const invented = Array.from({ length: 1_000 }, (_value, index) => ({ ...PEER, vm: `invented-${index}` }));
    t.is(addresses.recordReported(invented), 936);
    t.is(addresses.recordReported(invented.slice(0, 64)), 0);
    addresses.recordAnnounced({ ...PEER, vm: "real" });
    t.is(addresses.peers.length, 64);
    t.true(addresses.peers.some(({ vm }) => vm === "real"));
});

test("a control VM with a name of more than 255 characters is skipped", (t) => {
    const addresses = ControlAddresses.create("10.0.0.9:7600");
    addresses.recordReported([{ ...PEER, vm: "x".repeat(256) }, { ...PEER, identity: "x".repeat(256) }, { ...PEER, linkAddress: `${"x".repeat(256)}:1` }]);
    t.deepEqual(addresses.peers, []);
});
