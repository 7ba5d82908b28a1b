import FakeTimers from "@sinonjs/fake-timers";
import test from "ava";
import { LinkPort } from "../../links/LinkPort.js";
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

/** Network that connects nobody and remembers what was asked of it. */
class FakeNetwork implements LinkNetwork {
    readonly linkedVms = new Set<string>();
    readonly isClosing = false;
    readonly connects: string[] = [];
    readonly broadcasts: Message[] = [];
    readonly unlinks: string[] = [];

    connect(address: string): Promise<boolean> {
        this.connects.push(address);
        return Promise.resolve(false);
    }

    unlink(vm: string): void {
        this.unlinks.push(vm);
    }

    broadcast(message: Message): void {
        this.broadcasts.push(message);
    }

    sendTo(): boolean {
        return true;
    }
}

function linkTo(record: MemberRecord, sent: Message[] = []): LinkPort {
    const { vm, startedAtMs, failureDomain, roles, linkAddress } = record;
    return { peer: { vm, startedAtMs, failureDomain, roles, linkAddress }, send: (message) => void sent.push(message), close: () => undefined };
}

const clock = FakeTimers.install({ toFake: ["setInterval", "clearInterval", "setTimeout", "clearTimeout", "performance"] });
test.after.always(() => clock.uninstall());

function create(network: FakeNetwork): MembershipController {
    return MembershipController.create(member("self"), [], network, EventLog.create("self", undefined), () => 0);
}

test.serial("a member that nobody reaches is held lost, and is tried again and again", async (t) => {
    const network = new FakeNetwork();
    const membership = create(network);
    membership.receive(linkTo(member("b")), { kind: MessageKind.Members, records: [member("b")] });
    await membership.lose(linkTo(member("b")));
    await clock.tickAsync(3_000);
    t.true(membership.directory.isLost("b"));
    network.connects.length = 0;
    await clock.tickAsync(10_000);
    t.true(network.connects.filter((address) => address === "b:1").length >= 2);
    membership.close();
});

test.serial("a suspected member refutes with a newer record", (t) => {
    const network = new FakeNetwork();
    const membership = create(network);
    const suspicion = { member: { vm: "self", startedAtMs: 1, sequence: 1 }, observer: "b" };
    membership.receive(linkTo(member("b")), { kind: MessageKind.Suspicion, suspicion });
    t.is(membership.own.sequence, 2);
    t.true(network.broadcasts.some((message) => message.kind === MessageKind.Members && message.records[0]?.sequence === 2));
    membership.close();
});

test.serial("an old suspicion of a newer record changes nothing", (t) => {
    const membership = create(new FakeNetwork());
    membership.receive(linkTo(member("b")), { kind: MessageKind.Members, records: [{ ...member("b"), sequence: 5 }] });
    const suspicion = { member: { vm: "b", startedAtMs: 1, sequence: 4 }, observer: "c" };
    membership.receive(linkTo(member("c")), { kind: MessageKind.Suspicion, suspicion });
    t.deepEqual(membership.directory.openSuspicions(), []);
    membership.close();
});

test.serial("open suspicions are told to a new link, so that the suspected hears of them behind a healed cut", async (t) => {
    const membership = create(new FakeNetwork());
    membership.receive(linkTo(member("b")), { kind: MessageKind.Members, records: [member("b"), member("c")] });
    await membership.lose(linkTo(member("b")));
    const sent: Message[] = [];
    membership.open(linkTo(member("c"), sent));
    t.true(sent.some((message) => message.kind === MessageKind.Suspicion && message.suspicion.member.vm === "b"));
    membership.close();
});

test.serial("a process with the name of another defends its own record", (t) => {
    const membership = create(new FakeNetwork());
    membership.receive(linkTo(member("b")), { kind: MessageKind.Members, records: [{ ...member("self"), startedAtMs: 9, incarnation: "self@2" }] });
    t.is(membership.own.startedAtMs, 10);
    t.is(membership.own.incarnation, "self@1");
    membership.close();
});

test.serial("surplus links are closed one at a time, after the peer was told", async (t) => {
    const network = new FakeNetwork();
    const membership = create(network);
    Array.from({ length: 12 }, (_, index) => network.linkedVms.add(`peer-${index}`));
    await clock.tickAsync(500);
    t.deepEqual(network.unlinks, []);
    await clock.tickAsync(200);
    t.deepEqual(network.unlinks, ["peer-0"]);
    membership.close();
});

test.serial("a seed that was not up when others were is tried again, so that two halves of a fleet find each other", async (t) => {
    const network = new FakeNetwork();
    const membership = MembershipController.create(member("self"), ["b:1", "late:1"], network, EventLog.create("self", undefined), () => 0);
    membership.receive(linkTo(member("b")), { kind: MessageKind.Members, records: [member("b")] });
    network.linkedVms.add("b");
    await clock.tickAsync(10_000);
    t.true(network.connects.filter((address) => address === "late:1").length >= 2);
    t.false(network.connects.includes("b:1"));
    membership.close();
});
