import test from "ava";
import { EndpointPhase } from "../../decisions/fleet/EndpointPhase.js";
import { GateRecord } from "../../decisions/fleet/GateRecord.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { GateTunnel } from "../../tunnel/GateTunnel.js";
import { FleetView } from "./index.js";

const GATE_VM = "proxy-2";

function createRecord(run: number, gateAddress: string): GateRecord {
    const endpoint = { id: `i-${run}`, bornAtMs: run, sequence: 1, service: "s", phase: EndpointPhase.Ready, slots: 5, coldRemainingMs: 0 };
    return { vm: GATE_VM, failureDomain: "a", gateAddress, run, sequence: 1, isOpen: true, endpoint, limitPerSecond: undefined };
}

function createTunnel(): GateTunnel & { isRetired: boolean } {
    const tunnel = {
        isRetired: false,
        isReachable: true,
        isWaiting: false,
        open: () => undefined,
        sendMessage: () => true,
        tick: () => undefined,
        resetBackoff: () => undefined,
        retire: () => void (tunnel.isRetired = true),
        close: () => undefined,
        offer: () => ({ cancel: () => undefined, confirm: () => undefined }),
    };
    return tunnel;
}

test("requests for a VM that has come back at another address are sent there", (t) => {
    const opened: { readonly address: string; readonly tunnel: ReturnType<typeof createTunnel> }[] = [];
    const view = FleetView.create({
        vm: "proxy-1",
        failureDomain: "a",
        localGate: createTunnel(),
        openTunnel: (address) => {
            const tunnel = createTunnel();
            opened.push({ address, tunnel });
            return tunnel;
        },
    }, EventLog.create("proxy-1", undefined));
    view.mergeRecords([createRecord(1, "10.0.0.1:7601")]);
    const former = view.gateOf(GATE_VM);
    view.mergeRecords([createRecord(2, "10.0.0.1:7601")]);
    t.is(view.gateOf(GATE_VM), former, "a gate that has only restarted keeps its tunnel");
    view.mergeRecords([createRecord(3, "10.0.0.9:7601")]);
    t.not(view.gateOf(GATE_VM), former);
    t.deepEqual(opened.map(({ address }) => address), ["10.0.0.1:7601", "10.0.0.9:7601"]);
    t.true(opened[0]?.tunnel.isRetired);
    view.close();
});
