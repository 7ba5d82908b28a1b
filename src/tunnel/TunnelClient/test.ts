import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { RefusalCause } from "../../model/RefusalCause.js";
import { RequestKind } from "../../model/RequestKind.js";
import { GateReply } from "../GateReply.js";
import { GateReplyKind } from "../GateReplyKind.js";
import { TunnelServer } from "../TunnelServer/index.js";
import { WorkHandle } from "../WorkHandle.js";
import { WorkOffer } from "../WorkOffer.js";
import { WorkPort } from "../WorkPort.js";
import { TunnelClient } from "./index.js";

const TOKEN = "token of the fleet";
const ANSWER: GateReply = { kind: GateReplyKind.Answered, answer: { status: 200, headers: [], body: Buffer.from("ok") }, load: undefined };

/** Gate that grants every offer, counts what is started, and answers when told. */
class FakeGate implements WorkPort {
    readonly started: string[] = [];
    readonly cancelled: string[] = [];
    readonly replies = new Map<string, (reply: GateReply) => void>();

    offer(offer: WorkOffer, onReply: (reply: GateReply) => void): WorkHandle {
        this.replies.set(offer.key, onReply);
        onReply({ kind: GateReplyKind.Granted });
        return {
            cancel: () => void this.cancelled.push(offer.key),
            go: () => {
                this.started.push(offer.key);
                onReply({ kind: GateReplyKind.Started });
            },
        };
    }
}

/** Carries connections to a port; can swallow all bytes of those that are open, or reset them. */
class Carrier {
    private readonly pairs: [Socket, Socket][] = [];
    private readonly muted = new Set<Socket>();

    constructor(readonly server: Server) {}

    static async create(port: number): Promise<Carrier> {
        const server = createServer();
        const carrier = new Carrier(server);
        server.on("connection", (near: Socket) => carrier.join(near, connect(port, "127.0.0.1")));
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        return carrier;
    }

    get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Connections carried so far. */
    get count(): number {
        return this.pairs.length;
    }

    mute(): void {
        this.pairs.flat().forEach((socket) => this.muted.add(socket));
    }

    reset(): void {
        this.pairs.flat().forEach((socket) => socket.resetAndDestroy());
    }

    close(): void {
        this.pairs.flat().forEach((socket) => socket.destroy());
        this.server.close();
    }

    private join(near: Socket, far: Socket): void {
        this.pairs.push([near, far]);
        [[near, far] as const, [far, near] as const].forEach(([from, to]) => {
            from.on("data", (chunk: Buffer) => this.muted.has(from) || to.write(chunk));
            from.on("error", () => undefined);
            from.on("close", () => this.muted.has(from) || to.destroy());
        });
    }
}

interface Scene {
    readonly gate: FakeGate;
    readonly carrier: Carrier;
    readonly client: TunnelClient;
    readonly replies: GateReply[];
    readonly offer: (key: string, requestKind: RequestKind) => WorkHandle;
}

async function play(t: ExecutionContext, run: (scene: Scene) => Promise<void>): Promise<void> {
    const gate = new FakeGate();
    const probe = createServer().listen(0, "127.0.0.1");
    await once(probe, "listening");
    const { port } = probe.address() as AddressInfo;
    probe.close();
    await once(probe, "close");
    const server = await TunnelServer.create({ host: "127.0.0.1", port, token: TOKEN, gateRun: "run-1", gate });
    const carrier = await Carrier.create(port);
    const client = TunnelClient.create(carrier.address, TOKEN, () => undefined);
    const timer = setInterval(() => client.tick(), 20);
    const replies: GateReply[] = [];
    const offer = (key: string, requestKind: RequestKind): WorkHandle =>
        client.offer({ key, requestKind, remainingMs: 4_000, usualMs: 500 } as WorkOffer, (reply) => replies.push(reply));
    try {
        await run({ gate, carrier, client, replies, offer });
    }
    finally {
        clearInterval(timer);
        client.close();
        carrier.close();
        server.close();
        t.pass();
    }
}

async function until(condition: () => boolean): Promise<void> {
    for (let waitedMs = 0; !condition() && waitedMs < 5_000; waitedMs += 10) {
        await delay(10);
    }
}

function kinds(replies: readonly GateReply[]): readonly GateReplyKind[] {
    return replies.map(({ kind }) => kind);
}

test("an offer starts once its entry has claimed the slot, and its answer comes back", async (t) => {
    await play(t, async ({ gate, replies, offer }) => {
        offer("1", RequestKind.Once);
        await until(() => gate.started.length > 0);
        gate.replies.get("1")?.(ANSWER);
        await until(() => replies.length === 2);
        t.deepEqual(kinds(replies), [GateReplyKind.Started, GateReplyKind.Answered]);
    });
});

test("an offer on a connection that has gone mute is refused as not run, and never starts", async (t) => {
    await play(t, async ({ gate, carrier, replies, offer }) => {
        offer("1", RequestKind.Once);
        await until(() => gate.started.length > 0);
        carrier.mute();
        offer("2", RequestKind.Once);
        await until(() => replies.length === 2);
        t.true(replies[1]?.kind === GateReplyKind.Refused && replies[1].cause === RefusalCause.Unreachable);
        await delay(300);
        t.deepEqual(gate.started, ["1"]);
    });
});

test("work that must not be repeated goes on over a reset, starts once, and its answer is fetched", async (t) => {
    await play(t, async ({ gate, carrier, replies, offer }) => {
        offer("1", RequestKind.Once);
        await until(() => gate.started.length > 0);
        carrier.reset();
        await delay(100);
        gate.replies.get("1")?.(ANSWER);
        await until(() => kinds(replies).includes(GateReplyKind.Answered));
        t.is(replies.at(-1)?.kind, GateReplyKind.Answered);
        t.deepEqual(gate.started, ["1"]);
        t.deepEqual(gate.cancelled, []);
    });
});

test("an answer that was lost on a mute connection is fetched over a new one", async (t) => {
    await play(t, async ({ gate, carrier, replies, offer }) => {
        offer("1", RequestKind.Once);
        await until(() => gate.started.length > 0);
        carrier.mute();
        gate.replies.get("1")?.(ANSWER);
        await until(() => kinds(replies).includes(GateReplyKind.Answered));
        t.is(replies.at(-1)?.kind, GateReplyKind.Answered);
        t.deepEqual(gate.started, ["1"]);
    });
});

test("repeatable work on a connection that breaks is reported broken and given up at the gate", async (t) => {
    await play(t, async ({ gate, carrier, replies, offer }) => {
        offer("1", RequestKind.Repeatable);
        await until(() => gate.started.length > 0);
        carrier.reset();
        await until(() => gate.cancelled.length > 0);
        t.deepEqual(kinds(replies), [GateReplyKind.Started, GateReplyKind.Broken]);
    });
});

test("an offer to a gate that cannot be reached is refused as not run", async (t) => {
    const replies: GateReply[] = [];
    const client = TunnelClient.create("127.0.0.1:1", TOKEN, () => undefined);
    client.offer({ key: "1", requestKind: RequestKind.Once, remainingMs: 4_000 } as WorkOffer, (reply) => replies.push(reply));
    await until(() => replies.length > 0);
    t.is(replies[0]?.kind, GateReplyKind.Refused);
    t.false(client.isReachable);
    client.close();
});

test("a process without the fleet's token gets no tunnel", async (t) => {
    await play(t, async ({ carrier, gate }) => {
        const replies: GateReply[] = [];
        const stranger = TunnelClient.create(carrier.address, "another token", () => undefined);
        stranger.offer({ key: "1", requestKind: RequestKind.Once, remainingMs: 4_000 } as WorkOffer, (reply) => replies.push(reply));
        await until(() => replies.length > 0);
        t.is(replies[0]?.kind, GateReplyKind.Refused);
        t.deepEqual(gate.started, []);
        stranger.close();
    });
});

test("a connection is tested only once an answer is overdue", async (t) => {
    const probe = createServer().listen(0, "127.0.0.1");
    await once(probe, "listening");
    const { port } = probe.address() as AddressInfo;
    probe.close();
    await once(probe, "close");
    const gate = new FakeGate();
    const server = await TunnelServer.create({ host: "127.0.0.1", port, token: TOKEN, gateRun: "run-1", gate });
    const carrier = await Carrier.create(port);
    const client = TunnelClient.create(carrier.address, TOKEN, () => undefined);
    const timer = setInterval(() => client.tick(), 20);
    t.teardown(() => {
        clearInterval(timer);
        client.close();
        carrier.close();
        server.close();
    });
    client.offer({ key: "1", requestKind: RequestKind.Once, remainingMs: 20_000, usualMs: 60_000 } as WorkOffer, () => undefined);
    await until(() => gate.started.length > 0);
    carrier.mute();
    await delay(1_500);
    t.is(carrier.count, 1);
    client.offer({ key: "2", requestKind: RequestKind.Once, remainingMs: 20_000, usualMs: 100 } as WorkOffer, () => undefined);
    await until(() => carrier.count === 2);
    t.is(carrier.count, 2);
});

test.serial("a gate that cannot be reached is tried less and less often, and again soon when there are news of it", async (t) => {
    const server = createServer((socket) => socket.destroy()).listen(0, "127.0.0.1");
    await once(server, "listening");
    let attempts = 0;
    server.on("connection", () => {
        attempts += 1;
    });
    const client = TunnelClient.create(`127.0.0.1:${(server.address() as AddressInfo).port}`, TOKEN, () => undefined);
    const timer = setInterval(() => client.tick(), 20);
    t.teardown(() => {
        clearInterval(timer);
        client.close();
        server.close();
    });
    client.offer({ key: "1", requestKind: RequestKind.Once, remainingMs: 1_000, usualMs: 100 } as WorkOffer, () => undefined);
    await delay(5_000);
    t.true(attempts >= 2 && attempts <= 4, `${attempts} attempts in 5 s`);
    const before = attempts;
    const askedAtMs = performance.now();
    client.retrySoon();
    await until(() => attempts > before);
    t.is(attempts, before + 1);
    t.true(performance.now() - askedAtMs < 2_000, "the next attempt of its own would have come 4 s after the last one");
});
