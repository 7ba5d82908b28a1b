import { type Clock, install } from "@sinonjs/fake-timers";
import test from "ava";
import { createLoadReport } from "../../../test/fixtures/createLoadReport.js";
import { GateLoadReport } from "../../decisions/fleet/GateLoadReport.js";
import { GateRecord } from "../../decisions/fleet/GateRecord.js";
import { Grade } from "../../decisions/fleet/Grade.js";
import { gateHash } from "../../decisions/fleet/gateHash/index.js";
import { packLoads } from "../../decisions/fleet/packLoads/index.js";
import { unpackLoads } from "../../decisions/fleet/unpackLoads/index.js";
import { Message } from "../../links/Message.js";
import { MessageKind } from "../../links/MessageKind.js";
import { NewsSpreader } from "./index.js";

type FleetNews = Extract<Message, { kind: MessageKind.FleetUpdate }>;

const NO_LOADS = packLoads([]);

function record(vm: string, sequence = 1): GateRecord {
    return { vm, failureDomain: "a", gateAddress: "10.0.0.1:1", run: 1, sequence, isOpen: true, endpoint: undefined };
}

function play(run: (clock: Clock, spreader: NewsSpreader, sent: (vm: string) => FleetNews[]) => void): void {
    const clock = install();
    const all: { vm: string; message: Message }[] = [];
    const spreader = NewsSpreader.create({ send: (vm, message) => void all.push({ vm, message }), peers: () => ["hub-2"] });
    try {
        run(clock, spreader, (wanted) =>
            all.flatMap(({ vm, message }) => vm === wanted && message.kind === MessageKind.FleetUpdate ? message : []));
    }
    finally {
        spreader.close();
        clock.uninstall();
    }
}

function loadsOf(message: FleetNews | undefined, ...vms: readonly string[]): readonly GateLoadReport[] {
    const names = new Map(vms.map((vm) => [gateHash(vm), vm]));
    return unpackLoads(message?.loads ?? NO_LOADS, (gate) => names.get(gate));
}

test.serial("a start of 235 proxies at once reaches each subscriber in a few messages, and every record arrives", (t) => {
    play((clock, spreader, sent) => {
        spreader.subscribe("vm-0", true);
        for (let number = 1; number <= 235; number += 1) {
            spreader.take([record(`vm-${number}`)], NO_LOADS, true);
            clock.tick(1);
        }
        clock.tick(1_000);
        t.true(sent("vm-0").length <= 15, `${sent("vm-0").length} messages`);
        t.is(new Set(sent("vm-0").flatMap(({ records }) => records).map(({ vm }) => vm)).size, 235);
        t.is(new Set(sent("hub-2").flatMap(({ records }) => records).map(({ vm }) => vm)).size, 235);
    });
});

test.serial("one change after a quiet time goes out at once", (t) => {
    play((_clock, spreader, sent) => {
        spreader.subscribe("vm-0", true);
        spreader.take([record("vm-1")], NO_LOADS, true);
        t.is(sent("vm-0").length, 2);
    });
});

test.serial("what another control VM has passed on goes to subscribers, and not back to control VMs", (t) => {
    play((clock, spreader, sent) => {
        spreader.subscribe("vm-0", true);
        spreader.take([record("vm-1")], packLoads([createLoadReport("vm-1")]), false);
        clock.tick(1_000);
        t.is(sent("vm-0").at(-1)?.records.length, 0);
        t.deepEqual(loadsOf(sent("vm-0").at(-1), "vm-1"), [createLoadReport("vm-1")]);
        t.is(sent("hub-2").length, 0);
    });
});

test.serial("a change of trust overtakes the loads, which keep their pace", (t) => {
    play((clock, spreader, sent) => {
        spreader.take([record("vm-1"), record("vm-2")], packLoads([createLoadReport("vm-1"), createLoadReport("vm-2")]), true);
        spreader.subscribe("vm-0", true);
        clock.tick(50);
        spreader.take([], packLoads([createLoadReport("vm-1", { grade: Grade.Ejected }), createLoadReport("vm-2", { running: 5 })]), true);
        t.deepEqual(loadsOf(sent("vm-0").at(-1), "vm-1", "vm-2"), [createLoadReport("vm-1", { grade: Grade.Ejected })]);
        clock.tick(200);
        t.deepEqual(loadsOf(sent("vm-0").at(-1), "vm-1", "vm-2"), [createLoadReport("vm-2", { running: 5 })]);
    });
});

test.serial("a proxy that takes its loads elsewhere gets records only", (t) => {
    play((clock, spreader, sent) => {
        spreader.subscribe("vm-0", false);
        spreader.take([record("vm-1")], packLoads([createLoadReport("vm-1")]), true);
        clock.tick(1_000);
        t.true(sent("vm-0").slice(1).every(({ loads }) => loads.length === 0));
    });
});
