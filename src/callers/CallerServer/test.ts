import { once } from "node:events";
import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { SILENT_STATEMENT } from "../../../test/fixtures/silentStatement.js";
import { CreditedBody } from "../../backend/CreditedBody/index.js";
import { nowMs } from "../../clock/nowMs/index.js";
import { HoldingBudget } from "../../memory/HoldingBudget/index.js";
import { ItemKind } from "../../decisions/items/ItemKind.js";
import { CallerDialect } from "../CallerDialect.js";
import { CallerExchange } from "../CallerExchange.js";
import { CallerResponse } from "../CallerResponse.js";
import { CallerServer } from "./index.js";

const DIALECT: CallerDialect = {
    readMetadata: (headers) => ({ requestId: headers.find(([name]) => name === "Id")?.[1] ?? "", apiKey: undefined, patienceMs: undefined }),
    forwardedHeaders: (headers) => headers,
    identifiedHeaders: (headers) => headers,
    ownResponseHeaders: () => [],
    readStatement: () => SILENT_STATEMENT,
    isGenuine: () => true,
};

async function withServer(
    t: ExecutionContext,
    run: (server: CallerServer, exchanges: CallerExchange[], open: () => Promise<Socket>) => Promise<void>,
): Promise<void> {
    const probe = createServer().listen(0, "127.0.0.1");
    await once(probe, "listening");
    const { port } = probe.address() as AddressInfo;
    probe.close();
    await once(probe, "close");
    const exchanges: CallerExchange[] = [];
    const errors: Error[] = [];
    const server = await CallerServer.create(`127.0.0.1:${port}`, DIALECT, (exchange) => exchanges.push(exchange), (error) => errors.push(error));
    const sockets: Socket[] = [];
    try {
        await run(server, exchanges, async () => {
            const socket = connect(port, "127.0.0.1");
            socket.on("error", () => undefined);
            sockets.push(socket);
            await once(socket, "connect");
            return socket;
        });
    }
    finally {
        sockets.forEach((socket) => socket.destroy());
        server.close();
        t.pass();
    }
}

function get(id: string): string {
    return `GET /${id} HTTP/1.1\r\nHost: a.example\r\nId: ${id}\r\n\r\n`;
}

function okResponse(text: string): CallerResponse {
    return { status: 200, headers: [], body: Buffer.from(text) };
}

async function waitUntil(condition: () => boolean): Promise<void> {
    for (let waitedMs = 0; !condition() && waitedMs < 3_000; waitedMs += 5) {
        await delay(5);
    }
}

function collect(socket: Socket): { text: string } {
    const collected = { text: "" };
    socket.on("data", (chunk: Buffer) => {
        collected.text += chunk.toString();
    });
    return collected;
}

test("pipelined requests are dispatched at once and answered in order", async (t) => {
    await withServer(t, async (_server, exchanges, open) => {
        const socket = await open();
        const collected = collect(socket);
        socket.write(get("1") + get("2") + get("3"));
        await waitUntil(() => exchanges.length === 3);
        [...exchanges].reverse().forEach((exchange) => exchange.respond(okResponse(`answer-${exchange.request.requestId}`)));
        await waitUntil(() => collected.text.includes("answer-3"));
        t.deepEqual(collected.text.match(/answer-\d/g), ["answer-1", "answer-2", "answer-3"]);
    });
});

test("a disconnect of the caller is reported for each of its requests", async (t) => {
    await withServer(t, async (server, exchanges, open) => {
        const socket = await open();
        let disconnects = 0;
        socket.write(get("1") + get("2"));
        await waitUntil(() => exchanges.length === 2);
        exchanges.forEach((exchange) => exchange.onDisconnect(() => {
            disconnects += 1;
        }));
        socket.destroy();
        await waitUntil(() => disconnects === 2);
        t.is(disconnects, 2);
        t.is(server.openRequestCount, 0);
    });
});

test("chunked bodies are read completely", async (t) => {
    await withServer(t, async (_server, exchanges, open) => {
        const socket = await open();
        socket.write("POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
        socket.write("2\r\nde\r\n0\r\n\r\n");
        await waitUntil(() => exchanges.length === 1);
        t.is(exchanges[0]?.request.body.toString(), "abcde");
        t.true(exchanges[0]?.request.hasBody);
    });
});

test("bodies and headers above the limits of the configuration are refused", async (t) => {
    await withServer(t, async (server, exchanges, open) => {
        server.setLimits({
            kind: ItemKind.Limits,
            name: "limits",
            maxHeaderBytes: 200,
            maxBodyBytes: 4,
            headerTimeoutMs: 1_000,
            idleTimeoutMs: 1_000,
        });
        const large = await open();
        const largeResponse = collect(large);
        large.write("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\n\r\nabcde");
        await waitUntil(() => largeResponse.text !== "");
        t.regex(largeResponse.text, /^HTTP\/1\.1 413/);
        const long = await open();
        const longResponse = collect(long);
        long.write(`GET / HTTP/1.1\r\nHost: a.example\r\nX: ${"x".repeat(300)}\r\n\r\n`);
        await waitUntil(() => longResponse.text !== "");
        t.regex(longResponse.text, /^HTTP\/1\.1 431/);
        t.is(exchanges.length, 0);
    });
});

test("a draining server closes a connection after its last response", async (t) => {
    await withServer(t, async (server, exchanges, open) => {
        const socket = await open();
        const collected = collect(socket);
        socket.write(get("1"));
        await waitUntil(() => exchanges.length === 1);
        server.startDraining();
        exchanges[0]?.respond(okResponse("last"));
        await once(socket, "close");
        t.regex(collected.text, /connection: close/i);
        t.regex(collected.text, /last$/);
    });
});

/** Larger than what the buffers of a loopback connection hold. */
const LARGE_BYTES = 24 * 1_024 * 1_024;

/** Reads from a paused socket until it ends, and returns the number of bytes and the errors. */
async function readToEnd(socket: Socket): Promise<{ readonly bytes: number; readonly errors: readonly Error[] }> {
    let bytes = 0;
    const errors: Error[] = [];
    socket.on("error", (error) => errors.push(error));
    socket.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        socket.pause();
        setTimeout(() => socket.resume(), 1);
    });
    socket.resume();
    await once(socket, "end");
    return { bytes, errors };
}

// Guards against a planned stop that cuts answers which callers are still reading: the server took their connections for idle.
test("a response that its caller reads slowly is complete although the server stops listening", async (t) => {
    await withServer(t, async (server, exchanges, open) => {
        const socket = await open();
        socket.pause();
        socket.write(get("1"));
        await waitUntil(() => exchanges.length === 1);
        server.startDraining();
        exchanges[0]?.respond({ status: 200, headers: [], body: Buffer.alloc(LARGE_BYTES, "x") });
        await delay(50);
        t.is(server.openRequestCount, 1);
        server.stopListening();
        const { bytes, errors } = await readToEnd(socket);
        t.true(bytes > LARGE_BYTES, `${bytes} bytes`);
        t.deepEqual(errors, []);
        t.is(server.openRequestCount, 0);
    });
});

// Guards against a request that runs and has no answer, and against the reset that its bytes would cause.
test("a request behind the last response of a connection is not dispatched, and the response before it is read whole", async (t) => {
    await withServer(t, async (server, exchanges, open) => {
        const socket = await open();
        socket.pause();
        socket.write(get("1"));
        await waitUntil(() => exchanges.length === 1);
        server.startDraining();
        exchanges[0]?.respond({ status: 200, headers: [], body: Buffer.alloc(LARGE_BYTES, "x") });
        socket.write(get("2"));
        await delay(100);
        const reading = readToEnd(socket);
        const timer = setInterval(() => socket.write(get("3")), 5);
        const { bytes, errors } = await reading;
        clearInterval(timer);
        t.true(bytes > LARGE_BYTES, `${bytes} bytes`);
        t.deepEqual(errors, []);
        t.is(exchanges.length, 1);
    });
});

test("an idle connection is closed in order, also if a request crosses its end, and none is dispatched any more", async (t) => {
    await withServer(t, async (server, exchanges, open) => {
        const socket = await open();
        const collected = collect(socket);
        socket.write(get("1"));
        await waitUntil(() => exchanges.length === 1);
        exchanges[0]?.respond(okResponse("one"));
        await waitUntil(() => collected.text.includes("one"));
        const errors: Error[] = [];
        socket.on("error", (error) => errors.push(error));
        server.stopListening();
        socket.write(get("2"));
        await once(socket, "close");
        t.deepEqual(errors, []);
        t.is(exchanges.length, 1);
        await waitUntil(() => server.connectionCount === 0);
        t.is(server.connectionCount, 0);
    });
});

test("a response is framed by its body length, whatever framing the endpoint used", async (t) => {
    await withServer(t, async (_server, exchanges, open) => {
        const socket = await open();
        const collected = collect(socket);
        socket.write(get("1"));
        await waitUntil(() => exchanges.length === 1);
        exchanges[0]?.respond({ status: 200, headers: [["Transfer-Encoding", "chunked"], ["X", "y"]], body: Buffer.from("whole") });
        await waitUntil(() => collected.text.includes("whole"));
        t.regex(collected.text, /content-length: 5/i);
        t.notRegex(collected.text, /transfer-encoding/i);
        t.regex(collected.text, /X: y/);
    });
});

test("an endless body is refused at the limit, and its connection closed", async (t) => {
    await withServer(t, async (server, exchanges, open) => {
        server.setLimits({
            kind: ItemKind.Limits,
            name: "limits",
            maxHeaderBytes: 16_384,
            maxBodyBytes: 100_000,
            headerTimeoutMs: 3_000,
            idleTimeoutMs: 15_000,
        });
        const socket = await open();
        const collected = collect(socket);
        socket.write("POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (let sent = 0; sent < 1_000 && !socket.destroyed; sent += 1) {
            socket.write(`8000\r\n${"x".repeat(32_768)}\r\n`);
            await delay(1);
        }
        t.true(socket.destroyed);
        t.regex(collected.text, /^HTTP\/1.1 413/);
        t.is(exchanges.length, 0);
    });
});

test("a body that stalls for the idle timeout is refused as not executed", async (t) => {
    await withServer(t, async (server, exchanges, open) => {
        server.setLimits({
            kind: ItemKind.Limits,
            name: "limits",
            maxHeaderBytes: 16_384,
            maxBodyBytes: 100_000,
            headerTimeoutMs: 3_000,
            idleTimeoutMs: 100,
        });
        const socket = await open();
        const collected = collect(socket);
        socket.write("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 10\r\n\r\nhalf");
        await waitUntil(() => collected.text.includes("\r\n\r\n"));
        t.regex(collected.text, /^HTTP\/1.1 408/);
        t.is(exchanges.length, 0);
    });
});

// Guards against timers that fire at once: Node.js takes a delay that is too long for one of 1 ms.
test("an idle timeout beyond the longest timer neither stalls bodies nor fails responses", async (t) => {
    await withServer(t, async (server, exchanges, open) => {
        const limits = { kind: ItemKind.Limits as const, name: "limits", maxHeaderBytes: 16_384, maxBodyBytes: 100_000 };
        for (const timeoutMs of [2 ** 40, Number.POSITIVE_INFINITY]) {
            server.setLimits({ ...limits, headerTimeoutMs: timeoutMs, idleTimeoutMs: timeoutMs });
            const socket = await open();
            const collected = collect(socket);
            const count = exchanges.length;
            socket.write("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nab");
            await delay(50);
            socket.write("cd");
            await waitUntil(() => exchanges.length > count);
            exchanges.at(-1)?.respond(okResponse("whole"));
            await waitUntil(() => collected.text.includes("whole"));
            t.regex(collected.text, /^HTTP\/1.1 200 /);
        }
    });
});

test("bodies beyond the memory budget are refused, and accepted again once other requests are answered", async (t) => {
    const megabytes = 12;
    const post = `POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: ${megabytes * 1_024 * 1_024}\r\n\r\n`;
    const body = Buffer.alloc(megabytes * 1_024 * 1_024);
    await withServer(t, async (_server, exchanges, open) => {
        for (let number = 1; number <= 2; number += 1) {
            const socket = await open();
            socket.write(post);
            socket.write(body);
            await waitUntil(() => exchanges.length === number);
        }
        const third = await open();
        const collected = collect(third);
        third.write(post);
        third.write(body);
        await waitUntil(() => collected.text.includes("\r\n\r\n"));
        t.regex(collected.text, /^HTTP\/1.1 503/);
        exchanges.forEach((exchange) => exchange.respond(okResponse("ok")));
        const fourth = await open();
        fourth.write(post);
        fourth.write(body);
        await waitUntil(() => exchanges.length === 3);
        t.is(exchanges.length, 3);
    });
});

// Guards against a body that reaches the endpoint without the coding that it needs to be read.
test("a request with a transfer coding besides chunks is refused instead of being forwarded without it", async (t) => {
    await withServer(t, async (_server, exchanges, open) => {
        const socket = await open();
        const collected = collect(socket);
        socket.write("POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
        await waitUntil(() => collected.text.includes("\r\n\r\n"));
        t.true(collected.text.startsWith("HTTP/1.1 400 "), collected.text);
        t.is(exchanges.length, 0);
    });
});

/** Starts a server whose handler throws for requests to `/bad`, and returns its port and the errors that it reports. */
async function startThrowingServer(t: ExecutionContext): Promise<{ readonly port: number; readonly errors: readonly Error[] }> {
    const probe = createServer().listen(0, "127.0.0.1");
    await once(probe, "listening");
    const { port } = probe.address() as AddressInfo;
    probe.close();
    await once(probe, "close");
    const errors: Error[] = [];
    const server = await CallerServer.create(`127.0.0.1:${port}`, DIALECT, (exchange) => {
        if (exchange.request.path === "/bad") {
            throw new Error("unexpected");
        }
        exchange.respond(okResponse("ok"));
    }, (error) => errors.push(error));
    t.teardown(() => server.close());
    return { port, errors };
}

// Guards against callers that wait in vain, and against the loss of the other requests on the connection.
test("an unexpected error fails only its own request, and those behind it on the connection are answered", async (t) => {
    const { port, errors } = await startThrowingServer(t);
    const socket = connect(port, "127.0.0.1");
    t.teardown(() => socket.destroy());
    const collected = collect(socket);
    socket.write(get("bad") + get("good"));
    await waitUntil(() => collected.text.includes("ok"));
    t.is(errors.length, 1);
    t.deepEqual(collected.text.match(/HTTP\/1.1 \d+/g), ["HTTP/1.1 502", "HTTP/1.1 200"]);
    const other = connect(port, "127.0.0.1");
    t.teardown(() => other.destroy());
    const collectedByOther = collect(other);
    other.write(get("good"));
    await waitUntil(() => collectedByOther.text.includes("ok"));
    t.regex(collectedByOther.text, /200 OK/);
});

// Guards against a caller that gets no answer at all, since its request counts as settled before the answer is written.
test("a response that cannot be written is replaced by a failure, and the connection stays usable", async (t) => {
    await withServer(t, async (server, exchanges, open) => {
        const socket = await open();
        const collected = collect(socket);
        socket.write(get("1") + get("2"));
        await waitUntil(() => exchanges.length === 2);
        exchanges[0]?.respond({ status: 200, headers: [["X-Node", "a\x01b"]], body: Buffer.from("one") });
        exchanges[1]?.respond(okResponse("two"));
        await waitUntil(() => collected.text.includes("two"));
        t.deepEqual(collected.text.match(/HTTP\/1.1 \d+/g), ["HTTP/1.1 502", "HTTP/1.1 200"]);
        t.is(server.openRequestCount, 0);
    });
});

interface LongResponse {
    readonly body: CreditedBody;
    readonly calls: string[];
    readonly problems: string[];
    readonly response: CallerResponse;
}

function createLongResponse(headers: CallerResponse["headers"]): LongResponse {
    const calls: string[] = [];
    const problems: string[] = [];
    const body = CreditedBody.create({
        onFull: () => calls.push("full"),
        onRoom: () => calls.push("room"),
        onTaken: () => undefined,
        onCancel: () => calls.push("cancel"),
    });
    const onBroken = (problem: string): unknown => problems.push(problem);
    return { body, calls, problems, response: { status: 200, headers, body: Buffer.alloc(0), stream: body, onBroken } };
}

const LENGTH: CallerResponse["headers"] = [["Content-Length", "1000000"]];

test("a long response is framed by its declared length, or in chunks, and the connection stays usable", async (t) => {
    await withServer(t, async (server, exchanges, open) => {
        const socket = await open();
        const received = collect(socket);
        for (const [number, headers] of [LENGTH, []].entries()) {
            received.text = "";
            socket.write(get(String(number)));
            await waitUntil(() => exchanges.length === number + 1);
            const { body, response } = createLongResponse(headers);
            exchanges[number]?.respond(response);
            body.add(Buffer.alloc(1_000_000, "x"));
            body.end();
            await waitUntil(() => received.text.length > 1_000_000 && (headers.length > 0 || received.text.endsWith("\r\n0\r\n\r\n")));
            t.regex(received.text, headers.length > 0 ? /\r\nContent-Length: 1000000\r\n/ : /\r\nTransfer-Encoding: chunked\r\n/);
            t.is(received.text.slice(received.text.indexOf("\r\n\r\n")).split("x").length - 1, 1_000_000);
        }
        await waitUntil(() => server.unreadResponseBytes === 0);
        t.is(server.unreadResponseBytes, 0);
        t.is(server.openRequestCount, 0);
    });
});

const FORMS = [
    ["HTTP/1.1", LENGTH, "a length"],
    ["HTTP/1.1", [], "chunks"],
    ["HTTP/1.0", [], "the end of the connection"],
] as const;

FORMS.forEach(([version, headers, framing]) => {
    // Guards against a part of a response that its caller takes for the whole.
    test(`a long response framed by ${framing} that breaks off does not look complete`, async (t) => {
        await withServer(t, async (_server, exchanges, open) => {
            const socket = await open();
            const received = collect(socket);
            const errors: string[] = [];
            socket.on("error", ({ message }) => errors.push(message));
            socket.write(get("1").replace("HTTP/1.1", version));
            await waitUntil(() => exchanges.length === 1);
            const { body, problems, response } = createLongResponse(headers);
            exchanges[0]?.respond(response);
            body.add(Buffer.alloc(50_000, "x"));
            body.flush();
            await waitUntil(() => received.text.includes("xxx"));
            body.breakOff("reset");
            await waitUntil(() => socket.destroyed);
            t.true(socket.destroyed);
            t.deepEqual(problems, ["reset"]);
            t.false(received.text.endsWith("0\r\n\r\n"));
            t.deepEqual(errors.map((message) => message.includes("ECONNRESET")), [true]);
        });
    });
});

test("a caller that leaves within a long response cancels it, and nothing is held for it any more", async (t) => {
    await withServer(t, async (server, exchanges, open) => {
        const socket = await open();
        socket.write(get("1"));
        await waitUntil(() => exchanges.length === 1);
        const { body, calls, response } = createLongResponse(LENGTH);
        exchanges[0]?.respond(response);
        body.add(Buffer.alloc(1_000));
        body.flush();
        socket.destroy();
        await waitUntil(() => calls.length > 0);
        t.deepEqual(calls, ["cancel"]);
        t.is(server.unreadResponseBytes, 0);
        t.is(server.openRequestCount, 0);
    });
});

test("a long response to a caller that has left is cancelled", async (t) => {
    await withServer(t, async (server, exchanges, open) => {
        const socket = await open();
        socket.write(get("1"));
        await waitUntil(() => exchanges.length === 1);
        socket.destroy();
        await waitUntil(() => server.connectionCount === 0);
        const { calls, response } = createLongResponse(LENGTH);
        exchanges[0]?.respond(response);
        t.deepEqual(calls, ["cancel"]);
    });
});

// Guards against ordinary callers that are refused because of others that do not read, and against memory that those fill.
test("under pressure a caller with an unread response is refused, above the limit it is closed, and others are served", async (t) => {
    const probe = createServer().listen(0, "127.0.0.1");
    await once(probe, "listening");
    const { port } = probe.address() as AddressInfo;
    probe.close();
    await once(probe, "close");
    const exchanges: CallerExchange[] = [];
    const closures: unknown[] = [];
    const budget = HoldingBudget.create(nowMs, (closure) => closures.push(closure), 20 * 1_024 * 1_024);
    const fail = (error: Error): void => t.fail(error.message);
    const server = await CallerServer.create(`127.0.0.1:${port}`, DIALECT, (exchange) => exchanges.push(exchange), fail, undefined, undefined, budget);
    const slow = connect(port, "127.0.0.1").pause();
    const ordinary = connect(port, "127.0.0.1");
    const received = collect(ordinary);
    [slow, ordinary].forEach((socket) => socket.on("error", () => undefined));
    try {
        slow.write(get("1"));
        await waitUntil(() => exchanges.length === 1);
        exchanges[0]?.respond({ status: 200, headers: [], body: Buffer.alloc(16 * 1_024 * 1_024, "x") });
        t.true(budget.isUnderPressure);
        slow.write(get("2"));
        ordinary.write(get("3"));
        await waitUntil(() => exchanges.length === 2);
        exchanges[1]?.respond(okResponse("ok"));
        await waitUntil(() => received.text.endsWith("ok"));
        t.is(exchanges[1]?.request.requestId, "3");
        t.regex(received.text, /^HTTP\/1.1 200 /);
        t.is(server.openRequestCount, 2);
        ordinary.write(get("4"));
        await waitUntil(() => exchanges.length === 3);
        const other = connect(port, "127.0.0.1").pause();
        other.on("error", () => undefined).write(get("5"));
        await waitUntil(() => exchanges.length === 4);
        exchanges[3]?.respond({ status: 200, headers: [], body: Buffer.alloc(8 * 1_024 * 1_024, "x") });
        await waitUntil(() => closures.length > 0);
        t.like(closures[0], { part: "unread responses", count: 1 });
        exchanges[2]?.respond(okResponse("again"));
        await waitUntil(() => received.text.endsWith("again"));
        t.true(received.text.endsWith("again"));
        t.is(server.connectionCount, 2);
        other.destroy();
    }
    finally {
        [slow, ordinary].forEach((socket) => socket.destroy());
        server.close();
    }
});
