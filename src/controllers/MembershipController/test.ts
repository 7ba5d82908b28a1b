import FakeTimers from "@sinonjs/fake-timers";
import test from "ava";
import { PeerLink } from "../../links/PeerLink.js";
import { Message } from "../../links/Message.js";
import { MessageKind } from "../../links/MessageKind.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { MemberRecord } from "../../model/MemberRecord.js";
import { MemberState } from "../../model/MemberState.js";
import { Role } from "../../model/Role.js";
import { LinkNetwork } from "../LinkNetwork.js";
import { MembershipController } from "./index.js";

function member(vm: string, failureDomain = "a"): MemberRecord {
    return {
        vm,
        failureDomain,
        startedAtMs: 1,
        incarnation: `${vm}@1`,
        sequence: 1,
        roles: [Role.Proxy],
        state: MemberState.Serving,
        controlIdentity: "",
        linkAddress: `${vm}:1`,
        gateAddress: `${vm}:2`,
        endpoints: [],
    };
}

/** Network that fails all connects and records the calls. */
class FakeNetwork implements LinkNetwork {
    readonly linkedVms = new Set<string>();
    readonly isClosing = false;
    readonly connects: string[] = [];
    readonly broadcasts: Message[] = [];
    readonly closedVms: string[] = [];

    connect(address: string): Promise<boolean> {
        this.connects.push(address);
        return Promise.resolve(false);
    }

    closeLink(vm: string): void {
        this.closedVms.push(vm);
    }

    broadcast(message: Message): void {
        this.broadcasts.push(message);
    }

    sendTo(): boolean {
        return true;
    }
}

function linkTo(record: MemberRecord, sent: Message[] = []): PeerLink {
    const { vm, startedAtMs, failureDomain, roles, linkAddress } = record;
    return { peer: { vm, startedAtMs, failureDomain, roles, linkAddress }, send: (message) => void sent.push(message), close: () => undefined };
}

const clock = FakeTimers.install({ toFake: ["setInterval", "clearInterval", "setTimeout", "clearTimeout", "performance"] });
test.after.always(() => clock.uninstall());

function create(network: FakeNetwork): MembershipController {
    return MembershipController.create(member("self"), [], network, EventLog.create("self", undefined), () => 0);
}

test.serial("an unreachable member is marked as lost and reconnecting is tried repeatedly", async (t) => {
    const network = new FakeNetwork();
    const membership = create(network);
    membership.handleMessage(linkTo(member("b")), { kind: MessageKind.Members, records: [member("b")] });
    await membership.handleClose(linkTo(member("b")));
    await clock.tickAsync(3_000);
    t.true(membership.directory.isLost("b"));
    network.connects.length = 0;
    await clock.tickAsync(10_000);
    t.true(network.connects.filter((address) => address === "b:1").length >= 2);
    membership.close();
});

test.serial("a suspected member refutes the suspicion with a newer record", (t) => {
    const network = new FakeNetwork();
    const membership = create(network);
    const suspicion = { member: { vm: "self", startedAtMs: 1, sequence: 1 }, observer: "b" };
    membership.handleMessage(linkTo(member("b")), { kind: MessageKind.Suspicion, suspicion });
    t.is(membership.ownRecord.sequence, 2);
    t.true(network.broadcasts.some((message) => message.kind === MessageKind.Members && message.records[0]?.sequence === 2));
    membership.close();
});

test.serial("a suspicion of an older version than the known record is ignored", (t) => {
    const membership = create(new FakeNetwork());
    membership.handleMessage(linkTo(member("b")), { kind: MessageKind.Members, records: [{ ...member("b"), sequence: 5 }] });
    const suspicion = { member: { vm: "b", startedAtMs: 1, sequence: 4 }, observer: "c" };
    membership.handleMessage(linkTo(member("c")), { kind: MessageKind.Suspicion, suspicion });
    t.deepEqual(membership.directory.openSuspicions(), []);
    membership.close();
});

test.serial("open suspicions are sent over a new link, so that the suspected member learns of them after a network partition", async (t) => {
    const membership = create(new FakeNetwork());
    membership.handleMessage(linkTo(member("b")), { kind: MessageKind.Members, records: [member("b"), member("c")] });
    await membership.handleClose(linkTo(member("b")));
    const sent: Message[] = [];
    membership.handleOpen(linkTo(member("c"), sent));
    t.true(sent.some((message) => message.kind === MessageKind.Suspicion && message.suspicion.member.vm === "b"));
    membership.close();
});

test.serial("a process publishes a newer record if another process uses its name", (t) => {
    const membership = create(new FakeNetwork());
    membership.handleMessage(linkTo(member("b")), {
        kind: MessageKind.Members,
        records: [{ ...member("self"), startedAtMs: 9, incarnation: "self@2" }],
    });
    t.is(membership.ownRecord.startedAtMs, 10);
    t.is(membership.ownRecord.incarnation, "self@1");
    membership.close();
});

test.serial("excess links are closed one at a time, after a message to the peer", async (t) => {
    const network = new FakeNetwork();
    const membership = create(network);
    Array.from({ length: 12 }, (_, index) => network.linkedVms.add(`peer-${index}`));
    await clock.tickAsync(500);
    t.deepEqual(network.closedVms, []);
    await clock.tickAsync(200);
    t.deepEqual(network.closedVms, ["peer-0"]);
    membership.close();
});

test.serial("a seed that started late is tried again, so that two parts of a fleet find each other", async (t) => {
    const network = new FakeNetwork();
    const membership = MembershipController.create(member("self"), ["b:1", "late:1"], network, EventLog.create("self", undefined), () => 0);
    membership.handleMessage(linkTo(member("b")), { kind: MessageKind.Members, records: [member("b")] });
    network.linkedVms.add("b");
    await clock.tickAsync(10_000);
    t.true(network.connects.filter((address) => address === "late:1").length >= 2);
    t.false(network.connects.includes("b:1"));
    membership.close();
});
