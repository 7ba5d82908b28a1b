import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { nowMs } from "../../clock/nowMs/index.js";
import { EndpointPhase } from "../../decisions/fleet/EndpointPhase.js";
import { EndpointReport } from "../../decisions/fleet/EndpointReport.js";
import { Grade } from "../../decisions/fleet/Grade.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { RefusalCause } from "../../model/RefusalCause.js";
import { RequestKind } from "../../model/RequestKind.js";
import { GateReply } from "../../tunnel/GateReply.js";
import { GateReplyKind } from "../../tunnel/GateReplyKind.js";
import { WorkHandle } from "../../tunnel/WorkHandle.js";
import { WorkOffer } from "../../tunnel/WorkOffer.js";
import { EndpointDialect } from "../EndpointDialect.js";
import { ServingGate } from "./index.js";

const READY: EndpointReport = {
    id: "i-1",
    bornAtMs: 1,
    sequence: 1,
    service: "s",
    phase: EndpointPhase.Ready,
    slots: 2,
    coldRemainingMs: 0,
};

const DIALECT: EndpointDialect = {
    requestHeaders: (offer) => [["Host", "a.example"], ["Id", offer.requestId]],
    requestIdOf: (headers) => headers.find(([name]) => name === "Id")?.[1],
    saysNotRun: (_status, headers) => headers.some(([name]) => name === "Not-Run"),
    isSigned: () => true,
};

const OFFER: Omit<WorkOffer, "key"> = {
    requestId: "1",
    service: "s",
    callerService: "c",
    endpointId: "i-1",
    requestKind: RequestKind.Repeatable,
    priority: 1,
    method: "GET",
    path: "/",
    headers: [],
    body: Buffer.alloc(0),
    hasBody: false,
    remainingMs: 3_000,
    targetRemainingMs: 1_500,
    usualMs: 300,
    maxQueueMs: 1_000,
    needsGo: false,
    isTrial: false,
    isLastResort: false,
    isRepeat: false,
    callOfRepeatShare: 0,
};

interface Scene {
    readonly gate: ServingGate;
    readonly arrivals: () => number;
    readonly offer: (key: string, overrides?: Partial<WorkOffer>) => { readonly replies: GateReply[]; readonly handle: WorkHandle };
    readonly failCallAt: (atMs: number) => void;
}

async function play(t: ExecutionContext, onRequest: (socket: Socket) => void, run: (scene: Scene) => Promise<void>): Promise<void> {
    let arrivals = 0;
    let failedCallAtMs = Number.NEGATIVE_INFINITY;
    const server = createServer((socket) => {
        socket.on("error", () => undefined);
        socket.on("data", () => {
            arrivals += 1;
            onRequest(socket);
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const gate = ServingGate.create({
        vm: "vm-1",
        backendAddress: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        dialect: DIALECT,
        events: EventLog.create("vm-1", undefined),
        retryTerms: { windowMs: 10_000, ratio: 0.2, slack: 5 },
        countGates: () => 1,
        hasFailedCallSince: (sinceMs) => failedCallAtMs >= sinceMs,
        onLoad: () => undefined,
    });
    gate.setEndpoint(READY);
    try {
        await run({
            gate,
            arrivals: () => arrivals,
            offer: (key, overrides = {}) => {
                const replies: GateReply[] = [];
                return { replies, handle: gate.offer({ ...OFFER, key, ...overrides }, (reply) => replies.push(reply)) };
            },
            failCallAt: (atMs) => {
                failedCallAtMs = atMs;
            },
        });
    }
    finally {
        gate.close();
        server.close();
        t.pass();
    }
}

function answer(socket: Socket, status: number): void {
    socket.write(`HTTP/1.1 ${status} X\r\nId: 1\r\nContent-Length: 0\r\n\r\n`);
}

async function until(condition: () => boolean): Promise<void> {
    for (let waitedMs = 0; !condition() && waitedMs < 3_000; waitedMs += 5) {
        await delay(5);
    }
}

test("a slot that its entry does not claim runs nothing and is given to another", async (t) => {
    await play(t, (socket) => answer(socket, 200), async ({ gate, arrivals, offer }) => {
        const unclaimed = offer("1", { needsGo: true });
        t.is(unclaimed.replies[0]?.kind, GateReplyKind.Granted);
        await until(() => unclaimed.replies.length === 2);
        t.true(unclaimed.replies[1]?.kind === GateReplyKind.Refused && unclaimed.replies[1].cause === RefusalCause.Voided);
        unclaimed.handle.go();
        await delay(50);
        t.is(arrivals(), 0);
        t.is(gate.load.running, 0);
    });
});

test("from the moment at which the endpoint drains, what waits is refused and what runs goes on", async (t) => {
    const sockets: Socket[] = [];
    await play(t, (socket) => sockets.push(socket), async ({ gate, arrivals, offer }) => {
        const running = [offer("1"), offer("2")];
        const waiting = offer("3");
        await until(() => arrivals() === 2);
        gate.setEndpoint({ ...READY, sequence: 2, phase: EndpointPhase.Draining });
        t.true(waiting.replies.at(-1)?.kind === GateReplyKind.Refused);
        t.is(offer("4").replies[0]?.kind, GateReplyKind.Refused);
        sockets.forEach((socket) => answer(socket, 200));
        await until(() => running.every(({ replies }) => replies.at(-1)?.kind === GateReplyKind.Answered));
        t.true(running.every(({ replies }) => replies.at(-1)?.kind === GateReplyKind.Answered));
        t.is(arrivals(), 2);
    });
});

test("work for another endpoint or service is refused, and reaches no endpoint", async (t) => {
    await play(t, (socket) => answer(socket, 200), ({ arrivals, offer }) => {
        for (const overrides of [{ endpointId: "i-0" }, { service: "other" }]) {
            const [reply] = offer("1", overrides).replies;
            t.true(reply?.kind === GateReplyKind.Refused && reply.cause === RefusalCause.OtherEndpoint);
        }
        t.is(arrivals(), 0);
        return Promise.resolve();
    });
});

test("an endpoint whose calls have failed elsewhere is not blamed for its failures", async (t) => {
    await play(t, (socket) => setTimeout(() => answer(socket, 500), 120), async ({ gate, offer, failCallAt }) => {
        failCallAt(Number.POSITIVE_INFINITY);
        for (const key of ["1", "2", "3"]) {
            const { replies } = offer(key);
            await until(() => replies.at(-1)?.kind === GateReplyKind.Answered);
        }
        t.is(gate.load.grade, Grade.Trusted);
        failCallAt(Number.NEGATIVE_INFINITY);
        for (const key of ["4", "5"]) {
            const { replies } = offer(key, { isTrial: true });
            await until(() => replies.at(-1)?.kind === GateReplyKind.Answered);
        }
        t.is(gate.load.grade, Grade.Ejected);
    });
});

test("calls that failed before the work began excuse nothing, and one that was refused at once excuses an early failure", async (t) => {
    await play(t, (socket) => answer(socket, 500), async ({ gate, offer, failCallAt }) => {
        failCallAt(nowMs() - 1);
        const { replies } = offer("1");
        await until(() => replies.at(-1)?.kind === GateReplyKind.Answered);
        t.is(gate.load.grade, Grade.Doubted);
        const refusal = offer("2", { requestKind: RequestKind.Once }).replies[0];
        t.true(refusal?.kind === GateReplyKind.Refused && refusal.cause === RefusalCause.Untrusted);
        gate.setEndpoint({ ...READY, bornAtMs: 2 });
        const excused = offer("3");
        failCallAt(nowMs());
        await until(() => excused.replies.at(-1)?.kind === GateReplyKind.Answered);
        t.is(gate.load.grade, Grade.Trusted);
    });
});

test("what waits for an endpoint that turns gray is refused, and has not reached it", async (t) => {
    const sockets: Socket[] = [];
    await play(t, (socket) => sockets.push(socket), async ({ arrivals, offer }) => {
        const running = [offer("1"), offer("2")];
        const waiting = ["3", "4", "5"].map((key) => offer(key, { requestKind: RequestKind.Once }));
        await until(() => arrivals() === 2);
        sockets.slice(0, 1).forEach((socket) => answer(socket, 500));
        await until(() => waiting.every(({ replies }) => replies.at(-1)?.kind === GateReplyKind.Refused));
        t.true(waiting.every(({ replies: [, reply] }) => reply?.kind === GateReplyKind.Refused && reply.cause === RefusalCause.Untrusted));
        sockets.slice(1).forEach((socket) => answer(socket, 200));
        await until(() => running[1]?.replies.at(-1)?.kind === GateReplyKind.Answered);
        t.is(arrivals(), 2);
    });
});

test("a slot that was granted is taken back when the endpoint turns gray before its entry claims it", async (t) => {
    const sockets: Socket[] = [];
    await play(t, (socket) => sockets.push(socket), async ({ arrivals, offer }) => {
        offer("1");
        const granted = offer("2", { needsGo: true, requestKind: RequestKind.Once });
        await until(() => arrivals() === 1);
        sockets.forEach((socket) => answer(socket, 500));
        await delay(50);
        granted.handle.go();
        const last = granted.replies.at(-1);
        t.true(last?.kind === GateReplyKind.Refused && last.cause === RefusalCause.Untrusted);
        await delay(50);
        t.is(arrivals(), 1);
    });
});

test("an endpoint that turns work away is no less trusted, but says how much it turns away", async (t) => {
    await play(t, (socket) => socket.write("HTTP/1.1 503 X\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"), async ({ gate, offer }) => {
        for (const key of ["1", "2", "3", "4", "5", "6"]) {
            const { replies } = offer(key);
            await until(() => replies.at(-1)?.kind === GateReplyKind.Refused);
        }
        t.is(gate.load.grade, Grade.Trusted);
        t.true(gate.load.shedShare >= 0.4, `${gate.load.shedShare}`);
    });
});

test("failures that come at once do not make the endpoint seem fast", async (t) => {
    let status = 500;
    await play(t, (socket) => answer(socket, status), async ({ gate, offer }) => {
        for (const key of ["1", "2", "3"]) {
            const { replies } = offer(key, { isTrial: true });
            await until(() => replies.at(-1)?.kind === GateReplyKind.Answered);
            t.is(gate.load.serviceMs, undefined);
            gate.setEndpoint({ ...READY, bornAtMs: Number(key) + 1 });
        }
        status = 200;
        const { replies } = offer("4");
        await until(() => replies.at(-1)?.kind === GateReplyKind.Answered);
        t.not(gate.load.serviceMs, undefined);
    });
});

test("repeats are refused beyond the gate's part of the retry budget", async (t) => {
    await play(t, (socket) => answer(socket, 200), async ({ arrivals, offer }) => {
        for (let request = 0; request < 20; request += 1) {
            const { replies } = offer(`${request}`, { isRepeat: true });
            await until(() => replies.at(-1)?.kind !== GateReplyKind.Started);
        }
        t.is(arrivals(), 3);
        const [refusal] = offer("last", { isRepeat: true }).replies;
        t.true(refusal?.kind === GateReplyKind.Refused && refusal.cause === RefusalCause.RetryBudget);
    });
});

test("an answer that a short deadline cut off is no evidence against it", async (t) => {
    await play(t, (socket) => answer(socket, 504), async ({ gate, offer }) => {
        for (const key of ["1", "2"]) {
            const { replies } = offer(key);
            await until(() => replies.at(-1)?.kind === GateReplyKind.Answered);
        }
        t.is(gate.load.grade, Grade.Trusted);
    });
});

test("work that is given up is taken away from its endpoint", async (t) => {
    let closed = 0;
    await play(t, (socket) => socket.on("close", () => {
        closed += 1;
    }), async ({ gate, arrivals, offer }) => {
        const { handle } = offer("1");
        await until(() => arrivals() === 1);
        handle.cancel();
        await until(() => closed === 1);
        t.is(closed, 1);
        t.is(gate.load.running, 0);
    });
});

test("a slot is free again some time after the deadline of work whose entry is lost and whose endpoint never answers", async (t) => {
    await play(t, () => undefined, async ({ gate, offer }) => {
        const { replies } = offer("1", { remainingMs: 200, requestKind: RequestKind.Once });
        await until(() => gate.load.running === 0 && replies.length === 2);
        t.is(gate.load.running, 0);
        t.is(gate.workCount, 0);
        t.is(replies.at(-1)?.kind, GateReplyKind.Broken);
    });
});
