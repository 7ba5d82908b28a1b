import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { BackendPool } from "../../backend/BackendPool/index.js";
import { nowMs } from "../../clock/nowMs/index.js";
import { EndpointPhase } from "../../decisions/fleet/EndpointPhase.js";
import { EndpointReport } from "../../decisions/fleet/EndpointReport.js";
import { Grade } from "../../decisions/fleet/Grade.js";
import { RecordingSink } from "../../../test/fixtures/RecordingSink.js";
import { SILENT_STATEMENT } from "../../../test/fixtures/silentStatement.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { RefusalCause } from "../../model/RefusalCause.js";
import { RequestKind } from "../../model/RequestKind.js";
import { GateReply } from "../../tunnel/GateReply.js";
import { GateReplyKind } from "../../tunnel/GateReplyKind.js";
import { OfferHandle } from "../../tunnel/OfferHandle.js";
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
    readRequestId: (headers) => headers.find(([name]) => name === "Id")?.[1],
    isNotRun: (status, headers) => status === 421 || headers.some(([name]) => name === "Not-Run"),
    readStatement: (headers) => {
        if (headers.some(([name]) => name === "Unexpected")) {
            throw new Error("unexpected");
        }
        return SILENT_STATEMENT;
    },
    isSigned: () => true,
    isKnownResponseHeader: () => true,
};

const OFFER: Omit<WorkOffer, "key"> = {
    requestId: "1",
    service: "s",
    callerService: "c",
    endpointId: "i-1",
    requestKind: RequestKind.Repeatable,
    priority: 1,
    organisation: "",
    organisationPriority: 0,
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
    limitPerSecond: undefined,
};

interface Fixture {
    readonly gate: ServingGate;
    readonly events: EventLog;
    /** Runs of the endpoint that an answer has shown to be there or not. */
    readonly presences: readonly (readonly [string, boolean])[];
    readonly arrivals: () => number;
    readonly offer: (key: string, overrides?: Partial<WorkOffer>) => { readonly replies: GateReply[]; readonly handle: OfferHandle };
    readonly failCallAt: (atMs: number) => void;
}

async function withGate(
    t: ExecutionContext,
    onRequest: (socket: Socket, data: Buffer) => void,
    run: (fixture: Fixture) => Promise<void>,
    maxRequestBytes?: number,
): Promise<void> {
    let arrivals = 0;
    let failedCallAtMs = Number.NEGATIVE_INFINITY;
    const presences: [string, boolean][] = [];
    const server = createServer((socket) => {
        socket.on("error", () => undefined);
        socket.on("data", (data) => {
            arrivals += 1;
            onRequest(socket, data);
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const backendAddress = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const events = EventLog.create("vm-1", undefined);
    const gate = ServingGate.create({
        vm: "vm-1",
        backendAddress,
        backend: BackendPool.create(backendAddress, DIALECT, maxRequestBytes),
        dialect: DIALECT,
        events,
        retryBudgetLimits: { windowMs: 10_000, ratio: 0.2, slack: 5 },
        countGates: () => 1,
        hasFailedCallSince: (sinceMs) => failedCallAtMs >= sinceMs,
        onLoadChange: () => undefined,
        onLeaving: () => undefined,
        onPresence: (run, isPresent) => void presences.push([run.id, isPresent]),
        onLimitChange: () => undefined,
    });
    gate.setEndpoint(READY);
    try {
        await run({
            gate,
            events,
            presences,
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

function respond(socket: Socket, status: number): void {
    socket.write(`HTTP/1.1 ${status} X\r\nId: 1\r\nContent-Length: 0\r\n\r\n`);
}

async function waitUntil(condition: () => boolean): Promise<void> {
    for (let waitedMs = 0; !condition() && waitedMs < 3_000; waitedMs += 5) {
        await delay(5);
    }
}

test("a slot that its entry does not confirm runs nothing and is freed", async (t) => {
    await withGate(t, (socket) => respond(socket, 200), async ({ gate, arrivals, offer }) => {
        const unconfirmed = offer("1", { needsGo: true });
        t.is(unconfirmed.replies[0]?.kind, GateReplyKind.Granted);
        await waitUntil(() => unconfirmed.replies.length === 2);
        t.true(unconfirmed.replies[1]?.kind === GateReplyKind.Refused && unconfirmed.replies[1].cause === RefusalCause.Voided);
        unconfirmed.handle.confirm();
        await delay(50);
        t.is(arrivals(), 0);
        t.is(gate.load.running, 0);
    });
});

test("a body that comes with the confirmation is sent to the endpoint, and one of another size is not", async (t) => {
    const received: Buffer[] = [];
    const onRequest = (_socket: Socket, data: Buffer): unknown => received.push(data);
    await withGate(t, onRequest, async ({ offer, arrivals }) => {
        const body = Buffer.alloc(20_000, "b");
        const overrides = { needsGo: true, hasBody: true, method: "PUT", requestKind: RequestKind.Once, deferredBodyBytes: body.length };
        const incomplete = offer("1", { ...overrides, requestId: "1" });
        incomplete.handle.confirm(body.subarray(1));
        const missing = offer("2", { ...overrides, requestId: "2" });
        missing.handle.confirm();
        [incomplete, missing].forEach(({ replies }) => {
            t.true(replies[1]?.kind === GateReplyKind.Refused && replies[1].cause === RefusalCause.Voided);
        });
        t.is(arrivals(), 0);
        offer("3", { ...overrides, requestId: "3" }).handle.confirm(body);
        await waitUntil(() => Buffer.concat(received).includes(body));
        t.true(Buffer.concat(received).includes(body));
    });
});

// Guards against requests that wait at a stopping gate although they can be served elsewhere, and against those that its stop would cut off.
test("a gate that starts to stop refuses queued requests at once, and takes only new ones that may be repeated and finish in time", async (t) => {
    await withGate(t, () => undefined, async ({ gate, offer }) => {
        ["1", "2"].forEach((key) => offer(key));
        const queued = offer("3");
        t.is(queued.replies[0]?.kind, GateReplyKind.Queued);
        gate.startStopping(nowMs() + 2_000);
        const once = offer("4", { requestKind: RequestKind.Once });
        const long = offer("5", { usualMs: 1_500 });
        [queued.replies[1], once.replies[0], long.replies[0]].forEach((reply) => {
            t.true(reply?.kind === GateReplyKind.Refused && reply.cause === RefusalCause.Stopping);
        });
        t.is(offer("6").replies[0]?.kind, GateReplyKind.Queued);
        await delay(1);
    });
});

/** Keeps this process from doing anything else, as if it were suspended. */
function holdUp(forMs: number): void {
    const untilMs = performance.now() + forMs;
    while (performance.now() < untilMs) { /* until then */ }
}

// Guards against a gate that takes its own pause for a hang of its endpoint, and ejects it.
test.serial("an endpoint that has answered while its gate was held up stays trusted", async (t) => {
    let requests = 0;
    const respondAndHoldUp = (socket: Socket): void => {
        respond(socket, 200);
        requests += 1;
        if (requests === 2) {
            holdUp(2_000);
        }
    };
    await withGate(t, respondAndHoldUp, async ({ gate, offer }) => {
        const offers = ["1", "2"].map((key) => offer(key, { remainingMs: 8_000 }));
        await waitUntil(() => offers.every(({ replies }) => replies.at(-1)?.kind === GateReplyKind.Answered));
        t.deepEqual(offers.map(({ replies }) => replies.at(-1)?.kind), [GateReplyKind.Answered, GateReplyKind.Answered]);
        t.is(gate.load.grade, Grade.Trusted);
    });
});

// Guards against slots that a malformed offer of another process holds for ever.
test("a slot of an offer with a malformed size of its body is freed like any other", async (t) => {
    await withGate(t, (socket) => respond(socket, 200), async ({ offer }) => {
        const malformed = offer("1", { needsGo: true, deferredBodyBytes: "large" as unknown as number });
        t.is(malformed.replies[0]?.kind, GateReplyKind.Granted);
        await waitUntil(() => malformed.replies.length === 2);
        t.true(malformed.replies[1]?.kind === GateReplyKind.Refused && malformed.replies[1].cause === RefusalCause.Voided);
    });
});

test("a confirmation that comes after a pause of the process runs nothing", async (t) => {
    await withGate(t, (socket) => respond(socket, 200), async ({ arrivals, offer }) => {
        const paused = offer("1", { needsGo: true });
        const resumeAtMs = nowMs() + 400;
        while (nowMs() < resumeAtMs) {
            // Timers cannot run, as while the process is frozen.
        }
        paused.handle.confirm();
        t.true(paused.replies[1]?.kind === GateReplyKind.Refused && paused.replies[1].cause === RefusalCause.Voided);
        await delay(50);
        t.is(arrivals(), 0);
    });
});

test("once the endpoint drains, queued requests are refused and running ones continue", async (t) => {
    const sockets: Socket[] = [];
    await withGate(t, (socket) => sockets.push(socket), async ({ gate, arrivals, offer }) => {
        const running = [offer("1"), offer("2")];
        const waiting = offer("3");
        await waitUntil(() => arrivals() === 2);
        gate.setEndpoint({ ...READY, sequence: 2, phase: EndpointPhase.Draining });
        t.true(waiting.replies.at(-1)?.kind === GateReplyKind.Refused);
        t.is(offer("4").replies[0]?.kind, GateReplyKind.Refused);
        sockets.forEach((socket) => respond(socket, 200));
        await waitUntil(() => running.every(({ replies }) => replies.at(-1)?.kind === GateReplyKind.Answered));
        t.true(running.every(({ replies }) => replies.at(-1)?.kind === GateReplyKind.Answered));
        t.is(arrivals(), 2);
    });
});

test("a request for another endpoint or service is refused and not sent", async (t) => {
    await withGate(t, (socket) => respond(socket, 200), ({ arrivals, offer }) => {
        for (const overrides of [{ endpointId: "i-0" }, { service: "other" }]) {
            const [reply] = offer("1", overrides).replies;
            t.true(reply?.kind === GateReplyKind.Refused && reply.cause === RefusalCause.OtherEndpoint);
        }
        t.is(arrivals(), 0);
        return Promise.resolve();
    });
});

test("failures do not count against an endpoint whose own calls have failed", async (t) => {
    await withGate(t, (socket) => setTimeout(() => respond(socket, 500), 120), async ({ gate, offer, failCallAt }) => {
        failCallAt(Number.POSITIVE_INFINITY);
        for (const key of ["1", "2", "3"]) {
            const { replies } = offer(key);
            await waitUntil(() => replies.at(-1)?.kind === GateReplyKind.Answered);
        }
        t.is(gate.load.grade, Grade.Trusted);
        failCallAt(Number.NEGATIVE_INFINITY);
        for (const key of ["4", "5"]) {
            const { replies } = offer(key, { isTrial: true });
            await waitUntil(() => replies.at(-1)?.kind === GateReplyKind.Answered);
        }
        t.is(gate.load.grade, Grade.Ejected);
    });
});

test("a failure is ignored only if a call failed after the request had started", async (t) => {
    await withGate(t, (socket) => respond(socket, 500), async ({ gate, offer, failCallAt }) => {
        failCallAt(nowMs() - 1);
        const { replies } = offer("1");
        await waitUntil(() => replies.at(-1)?.kind === GateReplyKind.Answered);
        t.is(gate.load.grade, Grade.Doubted);
        const refusal = offer("2", { requestKind: RequestKind.Once }).replies[0];
        t.true(refusal?.kind === GateReplyKind.Refused && refusal.cause === RefusalCause.Untrusted);
        gate.setEndpoint({ ...READY, bornAtMs: 2 });
        const ignored = offer("3");
        failCallAt(nowMs());
        await waitUntil(() => ignored.replies.at(-1)?.kind === GateReplyKind.Answered);
        t.is(gate.load.grade, Grade.Trusted);
    });
});

test("requests queued for an endpoint that starts to fail are refused and not sent", async (t) => {
    const sockets: Socket[] = [];
    await withGate(t, (socket) => sockets.push(socket), async ({ arrivals, offer }) => {
        const running = [offer("1"), offer("2")];
        const waiting = ["3", "4", "5"].map((key) => offer(key, { requestKind: RequestKind.Once }));
        await waitUntil(() => arrivals() === 2);
        sockets.slice(0, 1).forEach((socket) => respond(socket, 500));
        await waitUntil(() => waiting.every(({ replies }) => replies.at(-1)?.kind === GateReplyKind.Refused));
        t.true(waiting.every(({ replies: [, reply] }) => reply?.kind === GateReplyKind.Refused && reply.cause === RefusalCause.Untrusted));
        sockets.slice(1).forEach((socket) => respond(socket, 200));
        await waitUntil(() => running[1]?.replies.at(-1)?.kind === GateReplyKind.Answered);
        t.is(arrivals(), 2);
    });
});

test("a granted slot is revoked when the endpoint starts to fail before the entry confirms it", async (t) => {
    const sockets: Socket[] = [];
    await withGate(t, (socket) => sockets.push(socket), async ({ arrivals, offer }) => {
        offer("1");
        const granted = offer("2", { needsGo: true, requestKind: RequestKind.Once });
        await waitUntil(() => arrivals() === 1);
        sockets.forEach((socket) => respond(socket, 500));
        await delay(50);
        granted.handle.confirm();
        const last = granted.replies.at(-1);
        t.true(last?.kind === GateReplyKind.Refused && last.cause === RefusalCause.Untrusted);
        await delay(50);
        t.is(arrivals(), 1);
    });
});

test("an endpoint that sheds load stays trusted, and the share of shed requests is reported", async (t) => {
    await withGate(t, (socket) => socket.write("HTTP/1.1 503 X\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"), async ({ gate, offer }) => {
        for (const key of ["1", "2", "3", "4", "5", "6"]) {
            const { replies } = offer(key);
            await waitUntil(() => replies.at(-1)?.kind === GateReplyKind.Refused);
        }
        t.is(gate.load.grade, Grade.Trusted);
        t.true(gate.load.shedShare >= 0.4, `${gate.load.shedShare}`);
    });
});

test("fast failures do not lower the measured service time", async (t) => {
    let status = 500;
    await withGate(t, (socket) => respond(socket, status), async ({ gate, offer }) => {
        for (const key of ["1", "2", "3"]) {
            const { replies } = offer(key, { isTrial: true });
            await waitUntil(() => replies.at(-1)?.kind === GateReplyKind.Answered);
            t.is(gate.load.serviceMs, undefined);
            gate.setEndpoint({ ...READY, bornAtMs: Number(key) + 1 });
        }
        status = 200;
        const { replies } = offer("4");
        await waitUntil(() => replies.at(-1)?.kind === GateReplyKind.Answered);
        t.not(gate.load.serviceMs, undefined);
    });
});

test("retries are refused beyond the gate's share of the retry budget", async (t) => {
    await withGate(t, (socket) => respond(socket, 200), async ({ arrivals, offer }) => {
        for (let request = 0; request < 20; request += 1) {
            const { replies } = offer(`${request}`, { isRepeat: true });
            await waitUntil(() => replies.at(-1)?.kind !== GateReplyKind.Started);
        }
        t.is(arrivals(), 3);
        const [refusal] = offer("last", { isRepeat: true }).replies;
        t.true(refusal?.kind === GateReplyKind.Refused && refusal.cause === RefusalCause.RetryBudget);
    });
});

test("a timeout at a short deadline does not count against the endpoint", async (t) => {
    await withGate(t, (socket) => respond(socket, 504), async ({ gate, offer }) => {
        for (const key of ["1", "2"]) {
            const { replies } = offer(key);
            await waitUntil(() => replies.at(-1)?.kind === GateReplyKind.Answered);
        }
        t.is(gate.load.grade, Grade.Trusted);
    });
});

test("cancelling a request closes its connection to the endpoint", async (t) => {
    let closed = 0;
    await withGate(t, (socket) => socket.on("close", () => {
        closed += 1;
    }), async ({ gate, arrivals, offer }) => {
        const { handle } = offer("1");
        await waitUntil(() => arrivals() === 1);
        handle.cancel();
        await waitUntil(() => closed === 1);
        t.is(closed, 1);
        t.is(gate.load.running, 0);
    });
});

test("a slot is freed after the deadline of a request whose entry is lost and whose endpoint never responds", async (t) => {
    await withGate(t, () => undefined, async ({ gate, offer }) => {
        const { replies } = offer("1", { remainingMs: 200, requestKind: RequestKind.Once });
        await waitUntil(() => gate.load.running === 0 && replies.length === 2);
        t.is(gate.load.running, 0);
        t.is(gate.offerCount, 0);
        t.is(replies.at(-1)?.kind, GateReplyKind.Broken);
    });
});

// Guards against an entry that waits until the deadline, since the gate has forgotten the request when the error arises.
test("an unexpected error while a response is evaluated ends its request as broken", async (t) => {
    const handle = (socket: Socket): unknown => socket.write("HTTP/1.1 200 X\r\nId: 1\r\nUnexpected: 1\r\nContent-Length: 0\r\n\r\n");
    await withGate(t, handle, async ({ gate, offer }) => {
        const { replies } = offer("1");
        await waitUntil(() => replies.length === 2);
        t.deepEqual(replies.map(({ kind }) => kind), [GateReplyKind.Started, GateReplyKind.Broken]);
        t.is(gate.load.running, 0);
    });
});

test("an answer shows whether the intended run of the endpoint is there, and a refusal for want of room does not", async (t) => {
    const statuses = [200, 421];
    const handle = (socket: Socket): void => {
        const status = statuses.shift();
        if (status === undefined) {
            socket.write("HTTP/1.1 503 X\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        respond(socket, status);
    };
    await withGate(t, handle, async ({ presences, offer }) => {
        for (const key of ["1", "2", "3"]) {
            const { replies } = offer(key);
            await waitUntil(() => replies.length === 2);
        }
        t.deepEqual(presences, [["i-1", true], ["i-1", false]]);
    });
});

// Guards against a request that runs at the endpoint of another service, which got the address after the slot was granted.
test("a granted request does not start at the endpoint that has replaced the intended one before the entry confirms it", async (t) => {
    await withGate(t, (socket) => respond(socket, 200), async ({ gate, arrivals, offer }) => {
        const granted = offer("1", { needsGo: true });
        gate.setEndpoint({ ...READY, id: "i-2", bornAtMs: 2, service: "other" });
        granted.handle.confirm();
        await delay(50);
        const [, refusal] = granted.replies;
        t.true(refusal?.kind === GateReplyKind.Refused && refusal.cause === RefusalCause.OtherEndpoint, JSON.stringify(granted.replies));
        t.is(arrivals(), 0);
        t.is(gate.load.running, 0);
    });
});

test("a granted request does not start at an endpoint that drains by the time the entry confirms it", async (t) => {
    await withGate(t, (socket) => respond(socket, 200), async ({ gate, arrivals, offer }) => {
        const granted = offer("1", { needsGo: true });
        gate.setEndpoint({ ...READY, sequence: 2, phase: EndpointPhase.Draining });
        granted.handle.confirm();
        await delay(50);
        t.is(granted.replies[1]?.kind, GateReplyKind.Refused);
        t.is(arrivals(), 0);
    });
});

// Guards against a response of pieces without end that ends the process: each piece took memory of its own.
// Guards against an endpoint that crashes again because its gate sends it as many request bodies as it could not hold.
test("after a crash of the endpoint, fewer bytes of request bodies are sent to it, and the others are refused as not run", async (t) => {
    let connections = 0;
    await withGate(t, (socket) => {
        connections += 1;
        if (connections === 1) {
            (socket as Socket & { server: Server }).server.close();
            setTimeout(() => socket.resetAndDestroy(), 50);
        }
    }, async ({ gate, events, offer }) => {
        const upload = { requestKind: RequestKind.Once, body: Buffer.alloc(100_000), hasBody: true };
        const first = offer("1", upload);
        offer("2", upload);
        t.is(gate.bodyBytes, 200_000);
        await waitUntil(() => first.replies.some(({ kind }) => kind === GateReplyKind.Broken));
        t.is(gate.bodyBytes, 100_000);
        t.is(gate.bodyBudgetBytes, 100_000);
        t.is(events.find("BodyBudgetReduced").length, 1);
        const [refusal] = offer("3", upload).replies;
        t.true(refusal?.kind === GateReplyKind.Refused && refusal.cause === RefusalCause.Busy && !refusal.reachedEndpoint);
        const [accepted] = offer("4").replies;
        t.not(accepted?.kind, GateReplyKind.Refused);
    });
});

test.serial("a response of tiny chunks without end is refused by their number, with one line that names the limit", async (t) => {
    const handle = (socket: Socket): void => {
        socket.write("HTTP/1.1 200 X\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
        socket.write("1\r\nz\r\n".repeat(200_000));
    };
    await withGate(t, handle, async ({ gate, events, offer }) => {
        const { replies } = offer("1");
        await waitUntil(() => replies.length === 2);
        const broken = replies[1];
        t.true(broken?.kind === GateReplyKind.Broken && broken.problem.includes("chunks"), JSON.stringify(broken));
        const holders = events.find("BudgetExceeded").map(({ holder }) => holder);
        t.deepEqual(holders, ["chunks of a response"]);
        t.is(gate.responseBufferBytes, 0);
    });
});

test.serial("a response that trickles past its deadline is ended, and what it held is given back", async (t) => {
    let timer: NodeJS.Timeout | undefined;
    const handle = (socket: Socket): void => {
        socket.write("HTTP/1.1 200 X\r\nId: 1\r\n\r\n");
        timer = setInterval(() => socket.write("x"), 10);
    };
    await withGate(t, handle, async ({ gate, offer }) => {
        const { replies } = offer("1", { remainingMs: 200 });
        await waitUntil(() => gate.responseBufferBytes > 0);
        await waitUntil(() => replies.length === 2);
        clearInterval(timer);
        t.is(replies[1]?.kind, GateReplyKind.Broken);
        t.is(gate.responseBufferBytes, 0);
        t.is(gate.load.running, 0);
    });
});

test.serial("a response whose request was cancelled, or whose connection ends midway, holds nothing any longer", async (t) => {
    const sockets: Socket[] = [];
    const handle = (socket: Socket): void => {
        sockets.push(socket);
        socket.write(`HTTP/1.1 200 X\r\nId: 1\r\nContent-Length: 100000\r\n\r\n${"x".repeat(50_000)}`);
    };
    await withGate(t, handle, async ({ gate, offer }) => {
        const cancelled = offer("1");
        await waitUntil(() => gate.responseBufferBytes > 50_000);
        cancelled.handle.cancel();
        t.is(gate.responseBufferBytes, 0);
        const cut = offer("2");
        await waitUntil(() => gate.responseBufferBytes > 50_000);
        sockets[1]?.destroy();
        await waitUntil(() => cut.replies.length === 2);
        t.is(gate.responseBufferBytes, 0);
    });
});

test.serial("a gate refuses requests beyond a number that wait, and says so in one line", async (t) => {
    await withGate(t, () => undefined, ({ gate, events, offer }) => {
        const overtaking = { remainingMs: 1_000_000, maxQueueMs: 1_000_000 };
        const offers = Array.from({ length: 1_100 }, (_value, index) => offer(`key-${index}`, { ...overtaking, targetRemainingMs: 100_000 - index }));
        t.is(gate.load.queued, 1_024);
        t.true(offers.at(-1)?.replies.some(({ kind }) => kind === GateReplyKind.Refused));
        t.deepEqual(events.find("BudgetExceeded").map(({ holder, held }) => [holder, held]), [["requests that wait at a gate", 1_024]]);
        return Promise.resolve();
    });
});

// Failure: a request that waits is overtaken. Guards against one that is held until its deadline, and against one that was refused and runs.
test("a waiting request that others overtake is refused at once, with the time until there is room, and is never sent", async (t) => {
    const sockets: Socket[] = [];
    await withGate(t, (socket) => sockets.push(socket), async ({ gate, events, arrivals, offer }) => {
        const offerOf = (key: string, organisation: string, priority: number): { readonly replies: GateReply[] } =>
            offer(key, { organisation, organisationPriority: 1, priority, maxQueueMs: priority === 0 ? 2_000 : 700 });
        offerOf("1", "a", 1);
        offerOf("2", "a", 1);
        const waiting = [offerOf("3", "a", 1), offerOf("4", "a", 1)];
        const urgent = [offerOf("5", "b", 0), offerOf("6", "c", 0), offerOf("7", "d", 0)];
        const displaced = waiting.filter(({ replies }) => replies.at(-1)?.kind === GateReplyKind.Refused);
        t.true(displaced.length > 0);
        displaced.forEach(({ replies }) => {
            const last = replies.at(-1);
            t.true(last?.kind === GateReplyKind.Refused && last.cause === RefusalCause.Busy && last.retryAfterMs >= 50 && !last.reachedEndpoint);
        });
        t.is(events.find("RequestDisplaced").length, displaced.length);
        const expected = 7 - displaced.length;
        for (let answered = 0; answered < expected; answered += 1) {
            await waitUntil(() => sockets.length > 0);
            const socket = sockets.shift();
            if (socket !== undefined) {
                respond(socket, 200);
            }
        }
        await waitUntil(() => gate.offerCount === 0);
        t.is(arrivals(), expected);
        t.true(urgent.every(({ replies }) => replies.at(-1)?.kind === GateReplyKind.Answered));
        t.true(displaced.every(({ replies }) => replies.length === 2));
    });
});

// Guards against an endpoint that counts as failing because it is slow to read.
test.serial("a request that does not fit beside the uploads at the endpoint is refused as not executed, and the endpoint keeps its grade", async (t) => {
    await withGate(t, () => undefined, async ({ gate, events, offer }) => {
        const upload = { body: Buffer.alloc(600), hasBody: true };
        offer("1", upload);
        await waitUntil(() => gate.requestBytes === 600);
        const { replies } = offer("2", upload);
        await waitUntil(() => replies.length === 2);
        const [, refused] = replies;
        t.true(refused?.kind === GateReplyKind.Refused && refused.cause === RefusalCause.Busy && !refused.reachedEndpoint, JSON.stringify(refused));
        t.is(gate.load.running, 1);
        t.is(gate.load.grade, Grade.Trusted);
        t.deepEqual(events.find("BudgetExceeded").map(({ holder }) => holder), ["requests at the endpoint"]);
    }, 1_000);
});

function respondAtLength(socket: Socket): void {
    socket.write(`HTTP/1.1 200 X\r\nId: 1\r\nContent-Length: 1000000\r\n\r\n${"x".repeat(1_000_000)}`);
}

// Guards against a few callers that stop reading and so keep all others from the endpoint.
test.serial("a long response keeps its slot while it flows, and gives it back once it waits for its reader", async (t) => {
    await withGate(t, respondAtLength, async ({ gate, offer }) => {
        const { replies, handle } = offer("1", { acceptsStream: true });
        await waitUntil(() => replies.length === 2);
        const answered = replies[1];
        const sink = RecordingSink.create();
        if (answered?.kind === GateReplyKind.Answered) {
            answered.answer.stream?.start(sink);
        }
        t.is(gate.load.running, 1);
        await waitUntil(() => gate.load.running === 0);
        t.is(gate.load.running, 0);
        t.is(gate.offerCount, 1);
        t.deepEqual(sink.ends, []);
        handle.cancel();
        t.is(gate.offerCount, 0);
        t.is(gate.responseBufferBytes, 0);
    });
});

// Guards against a part of a response that an entry of an earlier version takes for the whole.
test.serial("an entry that does not take a response in pieces gets it whole, up to 2 MB", async (t) => {
    await withGate(t, respondAtLength, async ({ offer }) => {
        const { replies } = offer("1");
        await waitUntil(() => replies.length === 2);
        const answered = replies[1];
        t.true(answered?.kind === GateReplyKind.Answered && answered.answer.stream === undefined && answered.answer.body.length === 1_000_000);
    });
    const respondTooLong = (socket: Socket): void => void socket.write("HTTP/1.1 200 X\r\nId: 1\r\nContent-Length: 3000000\r\n\r\n");
    await withGate(t, respondTooLong, async ({ offer }) => {
        const { replies } = offer("1");
        await waitUntil(() => replies.length === 2);
        t.is(replies[1]?.kind, GateReplyKind.Broken);
    });
});

// Failure: an entry of an earlier version offers work while the fleet is updated. Guards against waits and orders that are no numbers.
test("an offer without the fields of an organisation counts as one without an organisation", async (t) => {
    const sockets: Socket[] = [];
    await withGate(t, (socket) => sockets.push(socket), async ({ gate, offer }) => {
        const former = { ...OFFER, key: "4", maxQueueMs: 2_000, organisation: undefined, organisationPriority: undefined };
        const replies: GateReply[] = [];
        offer("1");
        offer("2");
        offer("3", { organisation: "a", organisationPriority: 1, priority: 0 });
        gate.offer(former as unknown as WorkOffer, (reply) => replies.push(reply));
        t.deepEqual(replies, [{ kind: GateReplyKind.Queued }]);
        await waitUntil(() => sockets.length === 2);
        sockets.slice(0, 1).forEach((socket) => respond(socket, 200));
        await waitUntil(() => replies.length > 1);
        t.is(replies[1]?.kind, GateReplyKind.Started);
    });
});
