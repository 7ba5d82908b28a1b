import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { findFreePorts } from "../../../bench/findFreePorts/index.js";
import { FleetError } from "../../model/FleetError.js";
import { Role } from "../../model/Role.js";
import { LinkHandler } from "../LinkHandler.js";
import { Message } from "../Message.js";
import { MessageKind } from "../MessageKind.js";
import { LinkController } from "./index.js";

const HANDLER: LinkHandler = {
    onOpen: () => undefined,
    onMessage: () => undefined,
    onCall: () => Promise.resolve(undefined),
    onClose: () => undefined,
    onMessageError: () => undefined,
};

async function start(t: ExecutionContext, vm: string, handler: Partial<LinkHandler>, errors: FleetError[]): Promise<[LinkController, string]> {
    const [port = 0] = await findFreePorts(1);
    const links = await LinkController.create({
        identity: { vm, startedAtMs: 1, failureDomain: "a", roles: [Role.Proxy], linkAddress: `127.0.0.1:${port}` },
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
