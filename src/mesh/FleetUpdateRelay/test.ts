import { type Clock, install } from "@sinonjs/fake-timers";
import test from "ava";
import { createLoadReport } from "../../../test/fixtures/createLoadReport.js";
import { EndpointPhase } from "../../decisions/fleet/EndpointPhase.js";
import { GateLoadReport } from "../../decisions/fleet/GateLoadReport.js";
import { GateRecord } from "../../decisions/fleet/GateRecord.js";
import { Grade } from "../../decisions/fleet/Grade.js";
import { gateHash } from "../../decisions/fleet/gateHash/index.js";
import { packLoads } from "../../decisions/fleet/packLoads/index.js";
import { unpackLoads } from "../../decisions/fleet/unpackLoads/index.js";
import { Message } from "../../links/Message.js";
import { MessageKind } from "../../links/MessageKind.js";
import { FleetUpdateRelay } from "./index.js";

type FleetUpdate = Extract<Message, { kind: MessageKind.FleetUpdate }>;

const NO_LOADS = packLoads([]);

function record(vm: string, sequence = 1): GateRecord {
    return { vm, failureDomain: "a", gateAddress: "10.0.0.1:1", run: 1, sequence, isOpen: true, endpoint: undefined, limitPerSecond: undefined };
}

function failOnRefusal(holder: string): never {
    throw new Error(`refused: ${holder}`);
}

function withRelay(run: (clock: Clock, relay: FleetUpdateRelay, sent: (vm: string) => FleetUpdate[]) => void): void {
    const clock = install();
    const sentMessages: { vm: string; message: Message }[] = [];
    const relay = FleetUpdateRelay.create({
        send: (vm, message) => void sentMessages.push({ vm, message }),
        peers: () => ["control-2"],
        recordRefusal: failOnRefusal,
    });
    try {
        run(clock, relay, (recipient) =>
            sentMessages.flatMap(({ vm, message }) => vm === recipient && message.kind === MessageKind.FleetUpdate ? message : []));
    }
    finally {
        relay.close();
        clock.uninstall();
    }
}

function loadsOf(message: FleetUpdate | undefined, ...vms: readonly string[]): readonly GateLoadReport[] {
    const vmsByHash = new Map(vms.map((vm) => [gateHash(vm), vm]));
    return unpackLoads(message?.loads ?? NO_LOADS, (hash) => vmsByHash.get(hash));
}

test.serial("the simultaneous start of 235 proxies causes only a few messages to a subscriber, which receives every record", (t) => {
    withRelay((clock, relay, sent) => {
        relay.subscribe("vm-0", true);
        for (let number = 1; number <= 235; number += 1) {
            relay.handleUpdate([record(`vm-${number}`)], NO_LOADS, true);
            clock.tick(1);
        }
        clock.tick(1_000);
        t.true(sent("vm-0").length <= 15, `${sent("vm-0").length} messages`);
        t.is(new Set(sent("vm-0").flatMap(({ records }) => records).map(({ vm }) => vm)).size, 235);
        t.is(new Set(sent("control-2").flatMap(({ records }) => records).map(({ vm }) => vm)).size, 235);
    });
});

test.serial("a single update after a pause is sent immediately", (t) => {
    withRelay((_clock, relay, sent) => {
        relay.subscribe("vm-0", true);
        relay.handleUpdate([record("vm-1")], NO_LOADS, true);
        t.is(sent("vm-0").length, 2);
    });
});

test.serial("updates relayed by another control VM are sent to subscribers, but not to control VMs", (t) => {
    withRelay((clock, relay, sent) => {
        relay.subscribe("vm-0", true);
        relay.handleUpdate([record("vm-1")], packLoads([createLoadReport("vm-1")]), false);
        clock.tick(1_000);
        t.is(sent("vm-0").at(-1)?.records.length, 0);
        t.deepEqual(loadsOf(sent("vm-0").at(-1), "vm-1"), [createLoadReport("vm-1")]);
        t.is(sent("control-2").length, 0);
    });
});

test.serial("a change of grade is sent ahead of other loads, which keep their interval", (t) => {
    withRelay((clock, relay, sent) => {
        relay.handleUpdate([record("vm-1"), record("vm-2")], packLoads([createLoadReport("vm-1"), createLoadReport("vm-2")]), true);
        relay.subscribe("vm-0", true);
        clock.tick(50);
        relay.handleUpdate([], packLoads([createLoadReport("vm-1", { grade: Grade.Ejected }), createLoadReport("vm-2", { running: 5 })]), true);
        t.deepEqual(loadsOf(sent("vm-0").at(-1), "vm-1", "vm-2"), [createLoadReport("vm-1", { grade: Grade.Ejected })]);
        clock.tick(200);
        t.deepEqual(loadsOf(sent("vm-0").at(-1), "vm-1", "vm-2"), [createLoadReport("vm-2", { running: 5 })]);
    });
});

test.serial("a proxy that receives loads from another control VM gets only records", (t) => {
    withRelay((clock, relay, sent) => {
        relay.subscribe("vm-0", false);
        relay.handleUpdate([record("vm-1")], packLoads([createLoadReport("vm-1")]), true);
        clock.tick(1_000);
        t.true(sent("vm-0").slice(1).every(({ loads }) => loads.length === 0));
    });
});

test("a proxy that has restarted gets the record of its former run, which its new record replaces", (t) => {
    const sentMessages: { vm: string; message: Message }[] = [];
    const relay = FleetUpdateRelay.create({
        send: (vm, message) => void sentMessages.push({ vm, message }),
        peers: () => [],
        recordRefusal: failOnRefusal,
    });
    const endpoint = { id: "i-1", bornAtMs: 1, sequence: 1, service: "s", phase: EndpointPhase.Draining, slots: 1, coldRemainingMs: 0 };
    const former = { ...record("vm-1"), endpoint, limitPerSecond: 2 };
    relay.handleUpdate([former], NO_LOADS, true);
    relay.handleUpdate([{ ...record("vm-1"), run: 2 }], NO_LOADS, true);
    relay.handleUpdate([{ ...record("vm-1", 2), run: 2 }], NO_LOADS, true);
    relay.close();
    t.deepEqual(sentMessages.filter(({ message }) => message.kind === MessageKind.FormerRecord), [
        { vm: "vm-1", message: { kind: MessageKind.FormerRecord, record: former } },
    ]);
});
