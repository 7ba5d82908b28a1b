import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { createLoadReport } from "../../../test/fixtures/createLoadReport.js";
import { RecordingSink } from "../../../test/fixtures/RecordingSink.js";
import { BODY_WINDOW_BYTES } from "../../backend/bodyWindow.js";
import { CreditedBody } from "../../backend/CreditedBody/index.js";
import { ProbeDemand } from "../../decisions/outliers/ProbeDemand.js";
import { SocketBudget } from "../../frames/SocketBudget/index.js";
import { RefusalCause } from "../../model/RefusalCause.js";
import { RequestKind } from "../../model/RequestKind.js";
import { GatePort } from "../GatePort.js";
import { GateReply } from "../GateReply.js";
import { GateReplyKind } from "../GateReplyKind.js";
import { Invitation } from "../Invitation.js";
import { OfferHandle } from "../OfferHandle.js";
import { ProxyMessage } from "../ProxyMessage.js";
import { ProxyMessageKind } from "../ProxyMessageKind.js";
import { TunnelServer } from "../TunnelServer/index.js";
import { TunnelServerOptions } from "../TunnelServerOptions.js";
import { TUNNEL_LIMITS } from "../tunnelLimits.js";
import { WorkOffer } from "../WorkOffer.js";
import { TunnelClient } from "./index.js";

const TOKEN = "token of the fleet";
const throwError = (error: Error): void => {
    throw error;
};
const failOnRefusal = (holder: string): void => throwError(new Error(holder));
const createBudget = (): SocketBudget => SocketBudget.create("tunnels", TUNNEL_LIMITS, failOnRefusal);
const CALLBACKS = { onReachabilityChange: (): void => undefined, onInvitation: (): void => undefined, onError: throwError };
const RESPONSE: GateReply = { kind: GateReplyKind.Answered, answer: { status: 200, headers: [], body: Buffer.from("ok") }, load: undefined };

const REFUSAL: GateReply = { kind: GateReplyKind.Refused, cause: RefusalCause.Busy, retryAfterMs: 0, reachedEndpoint: false, load: undefined };

/** Gate that grants every offer unless it is full, and records which offers are started and cancelled. Tests reply through `replies`. */
class FakeGate implements GatePort {
    readonly offers: WorkOffer[] = [];
    readonly started: string[] = [];
    /** Bodies that came with confirmations, by key. */
    readonly bodies = new Map<string, Buffer | undefined>();
    readonly cancelled: string[] = [];
    readonly replies = new Map<string, (reply: GateReply) => void>();
    isFull = false;
    onOffer: () => void = () => undefined;

    offer(offer: WorkOffer, onReply: (reply: GateReply) => void): OfferHandle {
        this.onOffer();
        this.offers.push(offer);
        this.replies.set(offer.key, onReply);
        if (this.isFull) {
            onReply(REFUSAL);
            return { cancel: () => undefined, confirm: () => undefined };
        }
        onReply({ kind: GateReplyKind.Granted });
        return {
            cancel: () => void this.cancelled.push(offer.key),
            confirm: (body) => {
                this.started.push(offer.key);
                this.bodies.set(offer.key, body);
                onReply({ kind: GateReplyKind.Started });
            },
        };
    }
}

/** TCP proxy to a port. Can drop all bytes of its open connections, or reset them. */
class TcpProxy {
    private readonly pairs: [Socket, Socket][] = [];
    private readonly droppedSockets = new Set<Socket>();
    /** True while bytes towards the port are dropped, and those from it pass. */
    dropsTowardsPort = false;
    /** Rate at which bytes pass towards the port; unlimited if undefined. */
    bytesPerMs: number | undefined;
    /** Bytes that have passed towards the port. */
    passedBytes = 0;

    constructor(readonly server: Server) {}

    static async create(port: number): Promise<TcpProxy> {
        const server = createServer();
        const tcpProxy = new TcpProxy(server);
        server.on("connection", (near: Socket) => tcpProxy.join(near, connect(port, "127.0.0.1")));
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        return tcpProxy;
    }

    get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Number of connections so far. */
    get count(): number {
        return this.pairs.length;
    }

    dropBytes(): void {
        this.pairs.flat().forEach((socket) => this.droppedSockets.add(socket));
    }

    reset(): void {
        this.pairs.flat().forEach((socket) => socket.resetAndDestroy());
    }

    close(): void {
        this.pairs.flat().forEach((socket) => socket.destroy());
        this.server.close();
    }

    private pass(from: Socket, to: Socket, chunk: Buffer, isTowardsPort: boolean): void {
        if (this.droppedSockets.has(from) || (isTowardsPort && this.dropsTowardsPort)) {
            return;
        }
        this.passedBytes += isTowardsPort ? chunk.length : 0;
        if (!isTowardsPort || this.bytesPerMs === undefined) {
            to.write(chunk);
            return;
        }
        from.pause();
        setTimeout(() => {
            to.write(chunk);
            from.resume();
        }, chunk.length / this.bytesPerMs);
    }

    private join(near: Socket, far: Socket): void {
        this.pairs.push([near, far]);
        [[near, far] as const, [far, near] as const].forEach(([from, to]) => {
            from.on("data", (chunk: Buffer) => this.pass(from, to, chunk, from === near));
            from.on("error", () => undefined);
            from.on("close", () => this.droppedSockets.has(from) || to.destroy());
        });
    }
}

function createServerOn(port: number, gate: GatePort, onMessage?: TunnelServerOptions["onMessage"]): Promise<TunnelServer> {
    return TunnelServer.create({
        host: "127.0.0.1",
        port,
        token: TOKEN,
        gateRun: "run-1",
        failureDomain: "zone ä",
        gate,
        onMessage,
        budget: createBudget(),
        recordRefusal: failOnRefusal,
        onError: throwError,
    });
}

interface Fixture {
    readonly gate: FakeGate;
    readonly server: TunnelServer;
    readonly tcpProxy: TcpProxy;
    readonly client: TunnelClient;
    readonly replies: GateReply[];
    readonly invitations: Invitation[];
    readonly offer: (key: string, requestKind: RequestKind) => OfferHandle;
}

async function withTunnel(
    t: ExecutionContext,
    run: (fixture: Fixture) => Promise<void>,
    onError: (error: Error) => void = throwError,
): Promise<void> {
    const gate = new FakeGate();
    const probe = createServer().listen(0, "127.0.0.1");
    await once(probe, "listening");
    const { port } = probe.address() as AddressInfo;
    probe.close();
    await once(probe, "close");
    const server = await createServerOn(port, gate);
    const tcpProxy = await TcpProxy.create(port);
    const invitations: Invitation[] = [];
    const onInvitation = (invitation: Invitation): unknown => invitations.push(invitation);
    const client = TunnelClient.create(tcpProxy.address, TOKEN, { ...CALLBACKS, onInvitation, onError }, createBudget());
    const timer = setInterval(() => client.tick(), 20);
    const replies: GateReply[] = [];
    const offer = (key: string, requestKind: RequestKind): OfferHandle =>
        client.offer({ key, requestKind, remainingMs: 4_000, usualMs: 500 } as WorkOffer, (reply) => replies.push(reply));
    try {
        await run({ gate, server, tcpProxy, client, replies, invitations, offer });
    }
    finally {
        clearInterval(timer);
        client.close();
        tcpProxy.close();
        server.close();
        t.pass();
    }
}

async function waitUntil(condition: () => boolean): Promise<void> {
    for (let waitedMs = 0; !condition() && waitedMs < 5_000; waitedMs += 10) {
        await delay(10);
    }
}

function kindsOf(replies: readonly GateReply[]): readonly GateReplyKind[] {
    return replies.map(({ kind }) => kind);
}

const LARGE_BODY = Buffer.alloc(360_000, "b");
const MAX_OFFERS = 20;

function offerBody(client: TunnelClient, key: string, body: Buffer, replies: GateReply[]): OfferHandle {
    const offer = { key, requestKind: RequestKind.Once, body, hasBody: true, remainingMs: 20_000, usualMs: 500 } as WorkOffer;
    return client.offer(offer, (reply) => replies.push(reply));
}

/** Offers a request with a body until a gate has granted it a slot: on a busy machine, an offer may get no reply in time. Returns its key. */
async function offerUntilGranted(client: TunnelClient, prefix: string, body: Buffer): Promise<string> {
    for (let attempt = 0; attempt < MAX_OFFERS; attempt += 1) {
        const replies: GateReply[] = [];
        offerBody(client, `${prefix}-${attempt}`, body, replies);
        await waitUntil(() => replies.length > 0);
        if (replies[0]?.kind === GateReplyKind.Started) {
            return `${prefix}-${attempt}`;
        }
        await waitUntil(() => client.isReachable);
    }
    throw new Error("no offer was granted");
}

// Guards against bodies that cross a link for nothing: a busy gate refuses most offers.
test("a large body is sent only to a gate that has granted a slot", async (t) => {
    await withTunnel(t, async ({ gate, tcpProxy, client, replies }) => {
        gate.isFull = true;
        offerBody(client, "1", LARGE_BODY, replies);
        await waitUntil(() => replies.length > 0);
        t.is(replies[0]?.kind, GateReplyKind.Refused);
        t.true(tcpProxy.passedBytes < 5_000);
        gate.isFull = false;
        const key = await offerUntilGranted(client, "2", LARGE_BODY);
        await waitUntil(() => gate.started.length > 0);
        t.deepEqual(gate.started, [key]);
        t.true(gate.offers.every(({ deferredBodyBytes, body }) => deferredBodyBytes === LARGE_BODY.length && body.length === 0));
        t.true(gate.bodies.get(key)?.equals(LARGE_BODY));
    });
});

// Guards against offers that each lose 150 ms at a gate that is cut off in one direction: its invitations arrive five times a second.
test("a gate that did not reply stays unreachable although its invitations arrive", async (t) => {
    await withTunnel(t, async ({ gate, server, tcpProxy, client, replies, invitations, offer }) => {
        offer("0", RequestKind.Once);
        await waitUntil(() => gate.started.length > 0);
        tcpProxy.dropsTowardsPort = true;
        offer("1", RequestKind.Once);
        await waitUntil(() => replies.length > 1);
        t.is(replies[1]?.kind, GateReplyKind.Refused);
        server.invite({ load: createLoadReport("gate", { trialWish: ProbeDemand.Any }), waitedMs: 1_000 });
        await waitUntil(() => invitations.length > 0);
        t.is(invitations.length, 1);
        t.false(client.isReachable);
    });
});

// Guards against capacity that an entry never uses again after a cut: it closed the silent connection and waited for a frame to come on it.
test("after a cut without outstanding offers, the gate is connected to and reachable again", async (t) => {
    await withTunnel(t, async ({ gate, tcpProxy, client, replies, offer }) => {
        offer("0", RequestKind.Once);
        await waitUntil(() => gate.started.length > 0);
        gate.replies.get("0")?.(RESPONSE);
        await waitUntil(() => replies.length > 1);
        tcpProxy.dropBytes();
        offer("1", RequestKind.Once);
        await waitUntil(() => replies.length > 2);
        t.false(client.isReachable);
        await waitUntil(() => client.isReachable);
        t.true(client.isReachable);
        t.is(tcpProxy.count, 2);
        offer("2", RequestKind.Once);
        await waitUntil(() => gate.started.length > 1);
        t.deepEqual(gate.started, ["0", "2"]);
    });
});

test("a small body is sent with the offer", async (t) => {
    await withTunnel(t, async ({ gate, client }) => {
        const key = await offerUntilGranted(client, "1", LARGE_BODY.subarray(0, 8_191));
        await waitUntil(() => gate.started.length > 0);
        t.true(gate.offers.every(({ deferredBodyBytes, body }) => deferredBodyBytes === undefined && body.length === 8_191));
        t.is(gate.bodies.get(key), undefined);
    });
});

// Load: a body of 360 kB on a link of 200 kB/s. Guards against offers that count as unanswered, and tunnels that count as dead, while a body is on
// its way: the request was offered to the next gate, and its body sent again.
test("a large body that takes seconds on a slow link starts its request once", async (t) => {
    await withTunnel(t, async ({ gate, tcpProxy, client, replies, offer }) => {
        gate.onOffer = () => {
            // From the grant on, so that the body alone is slow.
            tcpProxy.bytesPerMs = 200;
        };
        const key = await offerUntilGranted(client, "1", LARGE_BODY);
        const connections = tcpProxy.count;
        const cancelled = [...gate.cancelled];
        offer("2", RequestKind.Once);
        await waitUntil(() => gate.started.length === 2);
        t.deepEqual([...gate.started].sort(), [key, "2"]);
        t.true(gate.bodies.get(key)?.equals(LARGE_BODY));
        t.deepEqual(gate.cancelled, cancelled);
        t.deepEqual(kindsOf(replies), [GateReplyKind.Started]);
        t.is(tcpProxy.count, connections);
        t.true(client.isReachable);
    });
});

// Guards against one bad answer that interrupts the requests of all others on the tunnel.
test("an error while one reply is handled leaves the tunnel open for other offers", async (t) => {
    const errors: Error[] = [];
    await withTunnel(t, async ({ gate, client, tcpProxy, replies, offer }) => {
        client.offer({ key: "1", requestKind: RequestKind.Once, remainingMs: 4_000, usualMs: 500 } as WorkOffer, (reply) => {
            if (reply.kind === GateReplyKind.Answered) {
                throw new Error("unexpected");
            }
        });
        offer("2", RequestKind.Once);
        await waitUntil(() => gate.started.length === 2);
        gate.replies.get("1")?.(RESPONSE);
        gate.replies.get("2")?.(RESPONSE);
        await waitUntil(() => replies.length === 2);
        t.deepEqual(kindsOf(replies), [GateReplyKind.Started, GateReplyKind.Answered]);
        t.is(tcpProxy.count, 1);
        t.deepEqual(errors.map(({ message }) => message), ["unexpected"]);
    }, (error) => errors.push(error));
});

test("an offer starts once its entry has confirmed it, and its response is returned", async (t) => {
    await withTunnel(t, async ({ gate, replies, offer }) => {
        offer("1", RequestKind.Once);
        await waitUntil(() => gate.started.length > 0);
        gate.replies.get("1")?.(RESPONSE);
        await waitUntil(() => replies.length === 2);
        t.deepEqual(kindsOf(replies), [GateReplyKind.Started, GateReplyKind.Answered]);
    });
});

/** Keeps this process from doing anything else, as a busy machine does. */
function holdUp(forMs: number): void {
    const untilMs = performance.now() + forMs;
    while (performance.now() < untilMs) { /* until then */ }
}

// Guards against an entry that blames its gates for its own pause: it refused offers whose replies it had not read.
[1, 2].forEach((pauses) => {
    test.serial(`an offer starts although its entry was held up ${pauses === 1 ? "once" : "twice"} for longer than a gate may take to reply`, async (t) => {
        await withTunnel(t, async ({ gate, client, replies, offer }) => {
            offer("1", RequestKind.Once);
            await waitUntil(() => gate.started.length === 1);
            offer("2", RequestKind.Repeatable);
            for (let pause = 0; pause < pauses; pause += 1) {
                holdUp(300);
                await delay(0);
            }
            await waitUntil(() => gate.started.length === 2);
            gate.replies.get("2")?.(RESPONSE);
            await waitUntil(() => replies.length === 3);
            t.deepEqual(kindsOf(replies), [GateReplyKind.Started, GateReplyKind.Started, GateReplyKind.Answered]);
            t.true(client.isReachable);
        });
    });
});

// Guards against an entry that takes its own pause for a gate that cannot be connected to, and uses it no more for a while.
test.serial("an offer starts although its entry was held up while it connected", async (t) => {
    await withTunnel(t, async ({ gate, client, tcpProxy, replies, offer }) => {
        offer("1", RequestKind.Repeatable);
        holdUp(600);
        client.tick();
        await waitUntil(() => replies.length > 0);
        t.deepEqual(kindsOf(replies), [GateReplyKind.Started]);
        t.deepEqual(gate.started, ["1"]);
        t.is(tcpProxy.count, 1);
    });
});

// Guards against offers that wait for a gate behind which nothing answers.
test("an offer to a gate that accepts connections and says nothing is refused as not executed", async (t) => {
    const server = createServer((socket) => socket.on("error", () => undefined)).listen(0, "127.0.0.1");
    await once(server, "listening");
    const client = TunnelClient.create(`127.0.0.1:${(server.address() as AddressInfo).port}`, TOKEN, CALLBACKS, createBudget());
    const timer = setInterval(() => client.tick(), 20);
    t.teardown(() => {
        clearInterval(timer);
        client.close();
        server.close();
    });
    const replies: GateReply[] = [];
    const offeredAtMs = performance.now();
    client.offer({ key: "1", requestKind: RequestKind.Once, remainingMs: 20_000, usualMs: 500 } as WorkOffer, (reply) => replies.push(reply));
    await waitUntil(() => replies.length > 0);
    t.deepEqual(kindsOf(replies), [GateReplyKind.Refused]);
    t.true(performance.now() - offeredAtMs >= 400);
    t.false(client.isReachable);
});

// Guards against an entry that takes its own pause for a gate that does not answer a ping: it cut responses that callers were receiving.
test.serial("a long response is whole although its entry was held up for longer than a gate may take to answer a ping", async (t) => {
    await withTunnel(t, async (fixture) => {
        const { client, tcpProxy } = fixture;
        const { body, sink } = await startLongResponse(fixture, RequestKind.Repeatable);
        // The ping is sent between the two pauses, and its answer is not read before the tick after the second one.
        holdUp(450);
        client.tick();
        holdUp(700);
        client.tick();
        body.add(Buffer.alloc(1_000));
        body.end();
        await waitUntil(() => sink.ends.length > 0);
        t.deepEqual(sink.ends, ["whole"]);
        t.is(tcpProxy.count, 1);
    });
});

// Guards against callers that get no answer or an invented one: such a status cannot be written, or ends as another one.
test("a reply with a status that no final response has is reported as broken", async (t) => {
    const statuses: unknown[] = [0, 99, 103, 600, 1_000, 200.5, -200, "200", undefined, null];
    await withTunnel(t, async ({ gate, replies, offer }) => {
        for (const [index, status] of statuses.entries()) {
            offer(String(index), RequestKind.Once);
            await waitUntil(() => gate.started.length > index);
            gate.replies.get(String(index))?.({ ...RESPONSE, answer: { status: status as number, headers: [], body: Buffer.alloc(0) } });
            await waitUntil(() => replies.length === 2 * (index + 1));
        }
        t.deepEqual(kindsOf(replies), statuses.flatMap(() => [GateReplyKind.Started, GateReplyKind.Broken]));
    });
});

test("an offer on a connection that stopped responding is refused as not executed, and never starts", async (t) => {
    await withTunnel(t, async ({ gate, tcpProxy, replies, offer }) => {
        offer("1", RequestKind.Once);
        await waitUntil(() => gate.started.length > 0);
        tcpProxy.dropBytes();
        offer("2", RequestKind.Once);
        await waitUntil(() => replies.length === 2);
        t.true(replies[1]?.kind === GateReplyKind.Refused && replies[1].cause === RefusalCause.Unreachable);
        await delay(300);
        t.deepEqual(gate.started, ["1"]);
    });
});

test("a request that must not be repeated survives a reset, starts once, and its response is fetched", async (t) => {
    await withTunnel(t, async ({ gate, tcpProxy, replies, offer }) => {
        offer("1", RequestKind.Once);
        await waitUntil(() => gate.started.length > 0);
        tcpProxy.reset();
        await delay(100);
        gate.replies.get("1")?.(RESPONSE);
        await waitUntil(() => kindsOf(replies).includes(GateReplyKind.Answered));
        t.is(replies.at(-1)?.kind, GateReplyKind.Answered);
        t.deepEqual(gate.started, ["1"]);
        t.deepEqual(gate.cancelled, []);
    });
});

test("a response that was lost on a dead connection is fetched over a new one", async (t) => {
    await withTunnel(t, async ({ gate, tcpProxy, replies, offer }) => {
        offer("1", RequestKind.Once);
        await waitUntil(() => gate.started.length > 0);
        tcpProxy.dropBytes();
        gate.replies.get("1")?.(RESPONSE);
        await waitUntil(() => kindsOf(replies).includes(GateReplyKind.Answered));
        t.is(replies.at(-1)?.kind, GateReplyKind.Answered);
        t.deepEqual(gate.started, ["1"]);
    });
});

test("a repeatable request is reported as broken and cancelled at the gate when its connection fails", async (t) => {
    await withTunnel(t, async ({ gate, tcpProxy, replies, offer }) => {
        offer("1", RequestKind.Repeatable);
        await waitUntil(() => gate.started.length > 0);
        tcpProxy.reset();
        await waitUntil(() => gate.cancelled.length > 0);
        t.deepEqual(kindsOf(replies), [GateReplyKind.Started, GateReplyKind.Broken]);
    });
});

test("a gate invites a connected entry to send a request, and withdraws the invitation once", async (t) => {
    await withTunnel(t, async ({ server, replies, invitations, offer }) => {
        offer("1", RequestKind.Repeatable);
        await waitUntil(() => replies.length > 0);
        const load = createLoadReport("vm-1");
        server.invite({ load, waitedMs: 900 });
        server.invite({ load, waitedMs: Number.POSITIVE_INFINITY });
        server.withdrawInvitations(load);
        server.withdrawInvitations(load);
        server.invite({ load, waitedMs: 1_000 });
        await waitUntil(() => invitations.length >= 4);
        t.deepEqual(invitations.map(({ waitedMs }) => waitedMs), [900, Number.POSITIVE_INFINITY, undefined, 1_000]);
        t.deepEqual(invitations[0]?.load, load);
    });
});

test("an offer to an unreachable gate is refused as not executed", async (t) => {
    const replies: GateReply[] = [];
    const client = TunnelClient.create("127.0.0.1:1", TOKEN, CALLBACKS, createBudget());
    client.offer({ key: "1", requestKind: RequestKind.Once, remainingMs: 4_000 } as WorkOffer, (reply) => replies.push(reply));
    await waitUntil(() => replies.length > 0);
    t.is(replies[0]?.kind, GateReplyKind.Refused);
    t.false(client.isReachable);
    client.close();
});

test("a message that concerns no request reaches the other proxy, and its reply comes back", async (t) => {
    const probe = createServer().listen(0, "127.0.0.1");
    await once(probe, "listening");
    const { port } = probe.address() as AddressInfo;
    probe.close();
    await once(probe, "close");
    const controls = [{ vm: "c-1", failureDomain: "a" }];
    const server = await createServerOn(port, new FakeGate(), (message, reply) => {
        t.deepEqual(message, { kind: ProxyMessageKind.RelayQuery });
        reply({ kind: ProxyMessageKind.RelayStatement, controls, relays: [] });
    });
    const received: ProxyMessage[] = [];
    const onMessage = (message: ProxyMessage): unknown => received.push(message);
    const client = TunnelClient.create(`127.0.0.1:${port}`, TOKEN, { ...CALLBACKS, onMessage }, createBudget());
    t.teardown(() => {
        client.close();
        server.close();
    });
    t.true(client.sendMessage({ kind: ProxyMessageKind.RelayQuery }));
    await waitUntil(() => received.length > 0);
    t.true(client.sendMessage({ kind: ProxyMessageKind.RelayQuery }));
    await waitUntil(() => received.length > 1);
    t.deepEqual(received, [1, 2].map(() => ({ kind: ProxyMessageKind.RelayStatement, controls, relays: [] })));
});

// Guards against memory that grows while messages wait for a gate that does not answer.
test("a limited number of messages waits for the connection, and none once the gate is unreachable", async (t) => {
    const client = TunnelClient.create("127.0.0.1:1", TOKEN, CALLBACKS, createBudget());
    const send = (): boolean => client.sendMessage({ kind: ProxyMessageKind.RelayQuery });
    t.is(Array.from({ length: 20 }, send).filter((isSent) => isSent).length, 16);
    await waitUntil(() => !client.isReachable);
    t.false(send());
    client.close();
});

test("a process without the token of the fleet cannot open a tunnel", async (t) => {
    await withTunnel(t, async ({ tcpProxy, gate }) => {
        const replies: GateReply[] = [];
        const unauthenticated = TunnelClient.create(tcpProxy.address, "another token", CALLBACKS, createBudget());
        unauthenticated.offer({ key: "1", requestKind: RequestKind.Once, remainingMs: 4_000 } as WorkOffer, (reply) => replies.push(reply));
        await waitUntil(() => replies.length > 0);
        t.is(replies[0]?.kind, GateReplyKind.Refused);
        t.deepEqual(gate.started, []);
        unauthenticated.close();
    });
});

// Guards against an invitation that reaches its entry with other values than the gate's, or no entry at all.
test("an entry that states its failure domain gets packed invitations, and one of another version gets them as before", async (t) => {
    const probe = createServer().listen(0, "127.0.0.1");
    await once(probe, "listening");
    const { port } = probe.address() as AddressInfo;
    probe.close();
    await once(probe, "close");
    const server = await createServerOn(port, new FakeGate());
    const address = `127.0.0.1:${port}`;
    const received = [["zone ä"], ["other"], []].map(([failureDomain]) => {
        const invitations: Invitation[] = [];
        const onInvitation = (invitation: Invitation): unknown => invitations.push(invitation);
        const client = TunnelClient.create(address, TOKEN, { ...CALLBACKS, onInvitation }, createBudget(), failureDomain);
        t.teardown(() => client.close());
        client.open();
        return invitations;
    });
    t.teardown(() => server.close());
    const load = createLoadReport("vm-1", { running: 3, serviceMs: 812, suspicion: 0.5 });
    await waitUntil(() => {
        server.invite({ load, waitedMs: 700.4 });
        return received.every((invitations) => invitations.length > 0);
    });
    const [local, remote, unstated] = received.map((invitations) => invitations[0]);
    t.deepEqual(local, { load: { ...load, vm: address }, waitedMs: 700 });
    t.deepEqual(remote, { load: { ...load, vm: address }, waitedMs: 700 });
    t.true(server.bytesSentToOtherDomains > 30 && server.bytesSentToOtherDomains < 2_000, `${server.bytesSentToOtherDomains}`);
    t.deepEqual(unstated, { load, waitedMs: 700.4 });
    server.withdrawInvitations(load);
    await waitUntil(() => received.every((invitations) => invitations.at(-1)?.waitedMs === undefined));
    t.deepEqual(received.map((invitations) => invitations.at(-1)?.waitedMs), [undefined, undefined, undefined]);
});

test("a connection is pinged only once a response is overdue", async (t) => {
    const probe = createServer().listen(0, "127.0.0.1");
    await once(probe, "listening");
    const { port } = probe.address() as AddressInfo;
    probe.close();
    await once(probe, "close");
    const gate = new FakeGate();
    const server = await createServerOn(port, gate);
    const tcpProxy = await TcpProxy.create(port);
    const invitations: Invitation[] = [];
    const onInvitation = (invitation: Invitation): unknown => invitations.push(invitation);
    const client = TunnelClient.create(tcpProxy.address, TOKEN, { ...CALLBACKS, onInvitation }, createBudget());
    const timer = setInterval(() => client.tick(), 20);
    t.teardown(() => {
        clearInterval(timer);
        client.close();
        tcpProxy.close();
        server.close();
    });
    client.offer({ key: "1", requestKind: RequestKind.Once, remainingMs: 20_000, usualMs: 60_000 } as WorkOffer, () => undefined);
    await waitUntil(() => gate.started.length > 0);
    tcpProxy.dropBytes();
    await delay(1_500);
    t.is(tcpProxy.count, 1);
    client.offer({ key: "2", requestKind: RequestKind.Once, remainingMs: 20_000, usualMs: 100 } as WorkOffer, () => undefined);
    await waitUntil(() => tcpProxy.count === 2);
    t.is(tcpProxy.count, 2);
});

test.serial("attempts to reach an unreachable gate back off, and resume soon after the backoff is reset", async (t) => {
    const server = createServer((socket) => socket.destroy()).listen(0, "127.0.0.1");
    await once(server, "listening");
    let attempts = 0;
    server.on("connection", () => {
        attempts += 1;
    });
    const client = TunnelClient.create(`127.0.0.1:${(server.address() as AddressInfo).port}`, TOKEN, CALLBACKS, createBudget());
    const timer = setInterval(() => client.tick(), 20);
    t.teardown(() => {
        clearInterval(timer);
        client.close();
        server.close();
    });
    client.offer({ key: "1", requestKind: RequestKind.Once, remainingMs: 1_000, usualMs: 100 } as WorkOffer, () => undefined);
    await delay(5_000);
    t.true(attempts >= 2 && attempts <= 4, `${attempts} attempts in 5 s`);
    const attemptsBeforeReset = attempts;
    const resetAtMs = performance.now();
    client.resetBackoff();
    await waitUntil(() => attempts > attemptsBeforeReset);
    t.is(attempts, attemptsBeforeReset + 1);
    t.true(performance.now() - resetAtMs < 2_000, "without the reset, the next attempt would come 4 s after the last one");
});

// Guards against answers that are lost with the tunnels of a gate that stops.
test("replies that a gate has sent arrive although it shuts its tunnels down", async (t) => {
    await withTunnel(t, async ({ gate, server, replies, offer }) => {
        offer("1", RequestKind.Repeatable);
        await waitUntil(() => gate.started.length === 1);
        const answer = { status: 200, headers: [], body: Buffer.alloc(16 * 1_024 * 1_024, "x") };
        gate.replies.get("1")?.({ kind: GateReplyKind.Answered, answer, load: undefined });
        const shutDown = server.shutDown();
        await waitUntil(() => replies.length === 2);
        await shutDown;
        t.deepEqual(kindsOf(replies), [GateReplyKind.Started, GateReplyKind.Answered]);
    });
});

// Guards against an odd address in the record of one gate, by which every request of its service failed.
test("an offer to a gate with an impossible address is refused as not executed, and so is the next one", (t) => {
    for (const address of ["10.0.0.1:99999", "no address"]) {
        const client = TunnelClient.create(address, TOKEN, CALLBACKS, createBudget());
        const replies: GateReply[] = [];
        client.open();
        ["1", "2"].forEach((key) => client.offer({ key, requestKind: RequestKind.Once, remainingMs: 1_000 } as WorkOffer, (reply) => replies.push(reply)));
        client.tick();
        t.deepEqual(kindsOf(replies), [GateReplyKind.Refused, GateReplyKind.Refused]);
        t.false(client.isReachable);
        client.close();
    }
});

interface LongResponse {
    readonly body: CreditedBody;
    /** What the gate is told about the body. */
    readonly calls: string[];
    readonly sink: RecordingSink;
}

/** Lets the gate answer an offer with a long response, of which the entry has the head when this resolves. */
async function startLongResponse({ gate, replies, offer }: Fixture, requestKind: RequestKind): Promise<LongResponse> {
    const calls: string[] = [];
    const body = CreditedBody.create({
        onFull: () => calls.push("full"),
        onRoom: () => calls.push("room"),
        onTaken: () => undefined,
        onCancel: () => calls.push("cancel"),
    });
    offer("1", requestKind);
    await waitUntil(() => gate.started.length > 0);
    const answer = { status: 200, headers: [["A", "b"] as const], body: Buffer.alloc(0), stream: body };
    gate.replies.get("1")?.({ kind: GateReplyKind.Answered, answer, load: undefined });
    await waitUntil(() => replies.length === 2);
    const [, answered] = replies;
    const sink = RecordingSink.create();
    if (answered?.kind === GateReplyKind.Answered) {
        answered.answer.stream?.start(sink);
    }
    return { body, calls, sink };
}

function grantAtEntry(replies: readonly GateReply[], bytes: number): void {
    const [, answered] = replies;
    if (answered?.kind === GateReplyKind.Answered) {
        answered.answer.stream?.grant(bytes);
    }
}

// Guards against an entry that holds the response of a caller that has stopped, and against one that never gets the rest.
test("a long response passes a tunnel no further than its caller reads, and is whole in the end", async (t) => {
    await withTunnel(t, async (fixture) => {
        const { body, calls, sink } = await startLongResponse(fixture, RequestKind.Repeatable);
        const content = Buffer.alloc(3 * BODY_WINDOW_BYTES, "abcdefg");
        body.add(content);
        body.end();
        await waitUntil(() => sink.lengthBytes >= BODY_WINDOW_BYTES);
        await delay(50);
        t.is(sink.lengthBytes, BODY_WINDOW_BYTES);
        t.deepEqual(calls, ["full"]);
        for (let round = 0; round < 3; round += 1) {
            grantAtEntry(fixture.replies, BODY_WINDOW_BYTES);
            await waitUntil(() => sink.lengthBytes >= Math.min(3, round + 2) * BODY_WINDOW_BYTES);
        }
        await waitUntil(() => sink.ends.length > 0);
        t.true(Buffer.concat(sink.chunks).equals(content));
        t.deepEqual(sink.ends, ["whole"]);
        t.deepEqual(fixture.replies.map(({ kind }) => kind), [GateReplyKind.Started, GateReplyKind.Answered]);
    });
});

test("a long response that breaks off at its gate breaks off at the entry", async (t) => {
    await withTunnel(t, async (fixture) => {
        const { body, sink } = await startLongResponse(fixture, RequestKind.Repeatable);
        body.add(Buffer.alloc(1_000));
        body.flush();
        body.breakOff("reset");
        await waitUntil(() => sink.ends.length > 0);
        t.deepEqual(sink.ends, ["reset"]);
    });
});

// Guards against an endpoint that goes on sending to a caller that has left.
test("a caller that leaves cancels its long response at the gate", async (t) => {
    await withTunnel(t, async (fixture) => {
        const { calls, sink } = await startLongResponse(fixture, RequestKind.Repeatable);
        const [, answered] = fixture.replies;
        t.true(answered?.kind === GateReplyKind.Answered);
        if (answered?.kind === GateReplyKind.Answered) {
            answered.answer.stream?.cancel();
        }
        await waitUntil(() => calls.length > 0);
        t.deepEqual(calls, ["cancel"]);
        t.deepEqual(sink.ends, []);
        t.false(fixture.client.isWaiting);
    });
});

[RequestKind.Repeatable, RequestKind.Once].forEach((requestKind) => {
    // Guards against a caller that waits for ever, and against a request that must not be repeated and runs again.
    test(`a tunnel that is lost in a long response to a request of kind ${requestKind} ends it at both ends, and nothing runs again`, async (t) => {
        await withTunnel(t, async (fixture) => {
            const { body, calls, sink } = await startLongResponse(fixture, requestKind);
            body.add(Buffer.alloc(1_000));
            body.flush();
            await waitUntil(() => sink.lengthBytes === 1_000);
            fixture.tcpProxy.reset();
            await waitUntil(() => sink.ends.length > 0 && calls.length > 0);
            t.is(sink.ends.length, 1);
            t.not(sink.ends[0], "whole");
            t.deepEqual(calls, ["cancel"]);
            t.deepEqual(fixture.gate.started, ["1"]);
        });
    });
});

// Guards against a caller that is told "not run" of a request whose long response was lost before its head arrived.
test("a request that must not be repeated is reported as broken if its long response is lost before the entry has its head", async (t) => {
    await withTunnel(t, async ({ gate, tcpProxy, replies, offer }) => {
        offer("1", RequestKind.Once);
        await waitUntil(() => gate.started.length > 0);
        tcpProxy.dropBytes();
        const stream = CreditedBody.create({ onFull: () => undefined, onRoom: () => undefined, onTaken: () => undefined, onCancel: () => undefined });
        const answer = { status: 200, headers: [], body: Buffer.alloc(0), stream };
        gate.replies.get("1")?.({ kind: GateReplyKind.Answered, answer, load: undefined });
        await waitUntil(() => replies.length === 2);
        t.deepEqual(kindsOf(replies), [GateReplyKind.Started, GateReplyKind.Broken]);
        t.deepEqual(gate.started, ["1"]);
    });
});
