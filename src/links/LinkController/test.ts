import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { Packr, Unpackr } from "msgpackr";
import { WebSocket } from "ws";
import { findFreePorts } from "../../../bench/findFreePorts/index.js";
import { FleetError } from "../../model/FleetError.js";
import { Role } from "../../model/Role.js";
import { computeKeyProof } from "../computeKeyProof/index.js";
import { Envelope } from "../Envelope.js";
import { LinkHandler } from "../LinkHandler.js";
import { Message } from "../Message.js";
import { MessageKind } from "../MessageKind.js";
import { LinkController } from "./index.js";

const packr = new Packr({ useRecords: true });
const unpackr = new Unpackr({ useRecords: true });

const HANDLER: LinkHandler = {
    onOpen: () => undefined,
    onMessage: () => undefined,
    onCall: () => Promise.resolve(undefined),
    onClose: () => undefined,
    onMessageError: () => undefined,
};

async function start(
    t: ExecutionContext,
    vm: string,
    handler: Partial<LinkHandler>,
    errors: FleetError[],
    failureDomain = "a",
): Promise<[LinkController, string]> {
    const [port = 0] = await findFreePorts(1);
    const links = await LinkController.create({
        identity: { vm, startedAtMs: 1, failureDomain, roles: [Role.Proxy], linkAddress: `127.0.0.1:${port}` },
        host: "127.0.0.1",
        port,
        fleetKey: "0123456789abcdef",
    }, { ...HANDLER, ...handler }, () => ({ term: 0, version: 0, manifestVersion: 0 }), (error) => errors.push(error));
    t.teardown(() => links.close());
    return [links, `127.0.0.1:${port}`];
}

// Guards against a process that one odd address ends again and again: the rejection was handled by nobody.
test("an address that nothing can be connected to fails the attempt to connect", async (t) => {
    const errors: FleetError[] = [];
    const [links] = await start(t, "vm-1", {}, errors);
    for (const address of ["10.0.0.1:99999", ":7600", "not an address", ""]) {
        t.is(await links.connect(address), undefined);
    }
    t.is(errors.length, 4);
});

// Guards against a process that stops following the others: on each new link the same message closed the link again.
test("a message and a call that cannot be handled leave the link open", async (t) => {
    const problems: string[] = [];
    const received: Message[] = [];
    const [, address] = await start(t, "vm-1", {
        onMessage: (_link, message) => {
            if (message.kind === MessageKind.Strike) {
                throw new Error("unexpected");
            }
            received.push(message);
        },
        onCall: () => Promise.reject(new Error("unexpected call")),
        onMessageError: (error) => problems.push(error.message),
    }, []);
    const [peer] = await start(t, "vm-2", {}, []);
    const link = await peer.connect(address);
    link?.send({ kind: MessageKind.Strike, fingerprint: "f", loss: "l" });
    t.is(await link?.call({ kind: MessageKind.ReadItems }, 200), undefined);
    link?.send({ kind: MessageKind.StrikesCleared, fingerprint: "f" });
    for (let waitedMs = 0; !received.some(({ kind }) => kind === MessageKind.StrikesCleared) && waitedMs < 3_000; waitedMs += 10) {
        await delay(10);
    }
    t.true(received.some(({ kind }) => kind === MessageKind.StrikesCleared));
    t.true(peer.linkedVms.has("vm-1"));
    t.deepEqual(problems.map((problem) => /unexpected.*/.exec(problem)?.[0]), ["unexpected", "unexpected call"]);
});

// Guards against a control VM that one received value ends: it was decoded, but could not be encoded again to be passed on by a timer.
test("a message that cannot be encoded is reported, and the link stays open", async (t) => {
    const problems: string[] = [];
    const [links] = await start(t, "vm-1", { onMessageError: (error) => problems.push(error.message) }, []);
    const [, address] = await start(t, "vm-2", { onCall: (_link, message) => Promise.resolve(message) }, []);
    const link = await links.connect(address);
    const cyclic: Record<string, unknown> = { kind: MessageKind.ReadItems };
    cyclic.self = cyclic;
    for (const message of [cyclic, { kind: MessageKind.ReadItems, size: 2n ** 90n }]) {
        t.notThrows(() => link?.send(message as Message));
    }
    t.is(problems.length, 2);
    t.not(await link?.call({ kind: MessageKind.ReadItems }, 1_000), undefined);
});

// Guards against a process that writes nothing but lines about one peer, and serves nobody meanwhile.
test("of many messages that cannot be handled only a few a second are reported, and later ones are received", async (t) => {
    const problems: string[] = [];
    const lastMessages: Message[] = [];
    const [, address] = await start(t, "vm-1", {
        onMessage: (_link, message) => {
            if (message.kind === MessageKind.StrikesCleared) {
                lastMessages.push(message);
            }
            if (message.kind === MessageKind.Strike) {
                throw new Error("unexpected");
            }
        },
        onMessageError: (error) => problems.push(error.message),
    }, []);
    const [peer] = await start(t, "vm-2", {}, []);
    const link = await peer.connect(address);
    const startedAtMs = performance.now();
    for (let count = 0; count < 1_000; count += 1) {
        link?.send({ kind: MessageKind.Strike, fingerprint: "f", loss: "l" });
    }
    link?.send({ kind: MessageKind.StrikesCleared, fingerprint: "f" });
    while (lastMessages.length === 0) {
        await delay(10);
    }
    const seconds = Math.ceil((performance.now() - startedAtMs) / 1_000);
    t.true(problems.length > 0 && problems.length <= 5 + 5 * seconds, `${problems.length} reports in ${seconds} s`);
});

// Guards against bytes between failure domains that nobody sees, although they are the largest cost of some deployments.
test("bytes that are sent to another failure domain are counted", async (t) => {
    const [local, address] = await start(t, "vm-1", {}, []);
    const [near] = await start(t, "vm-2", {}, []);
    const [far] = await start(t, "vm-3", {}, [], "b");
    for (let attempt = 0; local.linkedVms.size < 2 && attempt < 5; attempt += 1) {
        await Promise.all([near, far].map((peer) => peer.connect(address)));
    }
    near.sendTo("vm-1", { kind: MessageKind.StrikesCleared, fingerprint: "f".repeat(500) });
    far.sendTo("vm-1", { kind: MessageKind.StrikesCleared, fingerprint: "f".repeat(500) });
    t.is(near.bytes.sentToOtherDomains, 0);
    t.true(far.bytes.sentToOtherDomains > 500 && far.bytes.sentToOtherDomains < far.bytes.sent);
    t.true(local.bytes.sentToOtherDomains < local.bytes.sent);
});

// Guards against a proxy that misses a configuration or closes its links because the position or the sequence of a heartbeat is lost.
test("heartbeats state the position of their sender", async (t) => {
    const received: Message[] = [];
    const [, address] = await start(t, "vm-1", { onMessage: (_link, message) => received.push(message) }, []);
    const [peer] = await start(t, "vm-2", {}, []);
    await peer.connect(address);
    for (let waitedMs = 0; received.length === 0 && waitedMs < 3_000; waitedMs += 10) {
        await delay(10);
    }
    t.deepEqual(received[0], { kind: MessageKind.Heartbeat, sequence: 1, heard: 0, position: { term: 0, version: 0, manifestVersion: 0 } });
});

// Guards against a fleet of two versions in which the processes of the earlier one lose all links.
test("a process that does not state that it reads packed heartbeats gets them with the names of their fields", async (t) => {
    const [, address] = await start(t, "vm-1", {}, []);
    const socket = new WebSocket(`ws://${address}`, { perMessageDeflate: false });
    t.teardown(() => socket.terminate());
    const received: Envelope[] = [];
    socket.on("message", (data: Buffer) => {
        const envelope = unpackr.unpack(data) as Envelope;
        received.push(envelope);
        if (envelope.message.kind === MessageKind.Challenge) {
            const identity = { vm: "old", startedAtMs: 1, failureDomain: "a", roles: [Role.Proxy], linkAddress: "127.0.0.1:1" };
            const proof = computeKeyProof("0123456789abcdef", envelope.message.nonce, "old");
            socket.send(packr.pack({ message: { kind: MessageKind.Hello, identity, nonce: "n", proof } }));
        }
    });
    for (let waitedMs = 0; received.length < 3 && waitedMs < 3_000; waitedMs += 10) {
        await delay(10);
    }
    t.deepEqual(received.map(({ message }) => message.kind), [MessageKind.Challenge, MessageKind.Welcome, MessageKind.Heartbeat]);
});

// Load: a configuration of many items that goes to all subscribers. Guards against a control VM that is held up by encoding it for each of them.
test("a large message reaches all peers whole, and is encoded once", async (t) => {
    const received: Message[] = [];
    const addresses = await Promise.all(["vm-1", "vm-2", "vm-3"].map(async (vm) => {
        const [, address] = await start(t, vm, { onMessage: (_link, message) => received.push(message) }, []);
        return address;
    }));
    const [sender] = await start(t, "vm-4", {}, []);
    const links = await Promise.all(addresses.map((address) => sender.connect(address)));
    let reads = 0;
    const document = "x".repeat(20_000);
    const item = { key: "route/r", version: 1, content: undefined, get document() {
        reads += 1;
        return document;
    } };
    const message: Message = { kind: MessageKind.ItemUpdate, items: [item], isComplete: true, position: 1 };
    links.forEach((link) => link?.send(message));
    const isItemUpdate = ({ kind }: Message): boolean => kind === MessageKind.ItemUpdate;
    for (let waitedMs = 0; received.filter(isItemUpdate).length < 3 && waitedMs < 3_000; waitedMs += 10) {
        await delay(10);
    }
    const expected: Message = { kind: MessageKind.ItemUpdate, items: [{ key: "route/r", version: 1, content: undefined, document }], isComplete: true, position: 1 };
    t.deepEqual(received.filter(isItemUpdate), [expected, expected, expected]);
    t.is(reads, 1);
});
