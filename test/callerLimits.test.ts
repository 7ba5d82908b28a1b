import { once } from "node:events";
import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { CallerDialect } from "../src/callers/CallerDialect.js";
import { CallerExchange } from "../src/callers/CallerExchange.js";
import { CallerServer } from "../src/callers/CallerServer/index.js";
import { ItemKind } from "../src/decisions/items/ItemKind.js";
import { SILENT_STATEMENT } from "./fixtures/silentStatement.js";

const DIALECT: CallerDialect = {
    readMetadata: (headers) => ({
        requestId: headers.find(([name]) => name === "Id")?.[1] ?? "",
        apiKey: undefined,
        patienceMs: Number(headers.find(([name]) => name === "Patience")?.[1] ?? 60_000),
    }),
    forwardedHeaders: (headers) => headers,
    identifiedHeaders: (headers) => headers,
    ownResponseHeaders: () => [],
    readStatement: () => SILENT_STATEMENT,
    isGenuine: () => true,
};
const LIMITS = { kind: ItemKind.Limits as const, name: "limits", maxHeaderBytes: 131_072, maxBodyBytes: 100_000, headerTimeoutMs: 3_000, idleTimeoutMs: 1_000 };
const LARGE_BYTES = 24 * 1_024 * 1_024;
/** Time to wait for what must happen, in ms; long, since the machine may be busy. */
const WAIT_MS = 20_000;

interface Caller {
    readonly socket: Socket;
    readonly errors: readonly string[];
    text: string;
}

interface Fixture {
    readonly server: CallerServer;
    readonly exchanges: CallerExchange[];
    readonly refusals: readonly string[];
    readonly open: () => Promise<Caller>;
}

async function startServer(t: ExecutionContext): Promise<Fixture> {
    const probe = createServer().listen(0, "127.0.0.1");
    await once(probe, "listening");
    const { port } = probe.address() as AddressInfo;
    probe.close();
    await once(probe, "close");
    const exchanges: CallerExchange[] = [];
    const refusals: string[] = [];
    const onError = (error: Error): void => t.log(error.message);
    const server = await CallerServer.create(`127.0.0.1:${port}`, DIALECT, (exchange) => exchanges.push(exchange), onError, (holder) => refusals.push(holder));
    const sockets: Socket[] = [];
    t.teardown(() => {
        sockets.forEach((socket) => socket.destroy());
        server.close();
    });
    const open = async (): Promise<Caller> => {
        const socket = connect(port, "127.0.0.1");
        const errors: string[] = [];
        const caller: Caller = { socket, errors, text: "" };
        sockets.push(socket);
        socket.on("error", (error) => errors.push(error.message));
        socket.on("data", (data: Buffer) => caller.text += data.toString());
        await once(socket, "connect");
        return caller;
    };
    return { server, exchanges, refusals, open };
}

function get(id: string, fields = ""): string {
    return `GET /${id} HTTP/1.1\r\nHost: a\r\nId: ${id}\r\n${fields}\r\n`;
}

function answer(exchange: CallerExchange): void {
    const { request } = exchange;
    exchange.respond({ status: 200, headers: [], body: Buffer.from(`(${request.requestId})`) });
}

function answersIn({ text }: Caller): readonly string[] {
    return text.match(/\(\d+\)/g) ?? [];
}

async function waitUntil(condition: () => boolean): Promise<void> {
    const untilMs = performance.now() + WAIT_MS;
    while (!condition() && performance.now() < untilMs) {
        await delay(5);
    }
}

function idsUpTo(count: number): readonly string[] {
    return Array.from({ length: count }, (_value, index) => String(index));
}

test.serial("a caller that pipelines two hundred requests at once gets all answers in order", async (t) => {
    const { exchanges, open } = await startServer(t);
    const caller = await open();
    caller.socket.write(idsUpTo(200).map((id) => get(id)).join(""));
    await waitUntil(() => exchanges.length === 200);
    [...exchanges].reverse().forEach(answer);
    await waitUntil(() => answersIn(caller).length === 200);
    t.deepEqual(answersIn(caller), idsUpTo(200).map((id) => `(${id})`));
    caller.socket.write(get("200"));
    await waitUntil(() => exchanges.length === 201);
    t.is(exchanges.length, 201);
});

// Guards against a heap that is filled by the requests of one connection.
test.serial("pipelined requests without end are read as they are answered", async (t) => {
    const { server, exchanges, open } = await startServer(t);
    const caller = await open();
    const count = 400;
    for (const id of idsUpTo(count)) {
        caller.socket.write(get(id));
        await delay(1);
    }
    await delay(100);
    t.true(exchanges.length <= 80, `${exchanges.length} pending`);
    while (exchanges.length > 0) {
        exchanges.splice(0).forEach(answer);
        await waitUntil(() => exchanges.length > 0 || answersIn(caller).length === count);
    }
    t.deepEqual(answersIn(caller), idsUpTo(count).map((id) => `(${id})`));
    t.is(server.openRequestCount, 0);
});

test.serial("thousands of requests in one write are not all held: those behind the last answer count as not read", async (t) => {
    const { server, exchanges, refusals, open } = await startServer(t);
    const caller = await open();
    caller.socket.write(idsUpTo(3_000).map((id) => get(id)).join(""));
    await waitUntil(() => refusals.length > 0);
    await delay(50);
    const { length } = exchanges;
    t.true(length <= 1_024, `${length} pending`);
    const ended = once(caller.socket, "end");
    exchanges.forEach(answer);
    await ended;
    t.deepEqual(answersIn(caller), idsUpTo(length).map((id) => `(${id})`));
    t.regex(caller.text.slice(-200), /connection: close/i);
    t.deepEqual(caller.errors, []);
    t.is(exchanges.length, length);
    await waitUntil(() => server.connectionCount === 0);
    t.is(server.connectionCount, 0);
});

// Guards against a request that is passed on changed: Node.js drops header fields beyond a number of them.
test.serial("a request with thousands of header fields within the size limit is forwarded with all of them", async (t) => {
    const { server, exchanges, open } = await startServer(t);
    server.setLimits(LIMITS);
    const caller = await open();
    caller.socket.write(get("1", idsUpTo(5_000).map((number) => `F${number}: x\r\n`).join("")));
    await waitUntil(() => exchanges.length === 1);
    t.is(exchanges[0]?.request.headers.filter(([name]) => /^F\d/.test(name)).length, 5_000);
});

test.serial("a parser that reads less than the limit allows does not refuse a header section of the maximum size", async (t) => {
    const { server, exchanges, open } = await startServer(t);
    server.setLimits({ ...LIMITS, maxHeaderBytes: 16_384 });
    const fitting = await open();
    fitting.socket.write(get("1", `X: ${"x".repeat(16_300)}\r\n`));
    await waitUntil(() => exchanges.length === 1);
    t.is(exchanges.length, 1);
    const tooLarge = await open();
    tooLarge.socket.write(get("1", `X: ${"x".repeat(100_000)}\r\n`));
    await waitUntil(() => tooLarge.text !== "");
    t.regex(tooLarge.text, /^HTTP\/1.1 431 /);
    t.deepEqual(tooLarge.errors, []);
});

// Guards against responses that fill the memory because their callers do not read them.
test.serial("while callers leave large responses unread, new requests are refused as not run, and the responses are delivered", async (t) => {
    const { server, exchanges, refusals, open } = await startServer(t);
    const slow = await Promise.all([1, 2, 3, 4].map(open));
    slow.forEach(({ socket }) => socket.pause().write(get("0")));
    await waitUntil(() => exchanges.length === 4);
    exchanges.splice(0).forEach((exchange) => exchange.respond({ status: 200, headers: [], body: Buffer.alloc(LARGE_BYTES, "x") }));
    const other = await open();
    other.socket.write(get("1"));
    await waitUntil(() => other.text !== "");
    t.regex(other.text, /^HTTP\/1.1 503 /);
    t.deepEqual(refusals, ["unread responses"]);
    slow.forEach(({ socket }) => socket.resume());
    await waitUntil(() => slow.every(({ text }) => text.length > LARGE_BYTES));
    t.true(slow.every(({ text }) => text.length > LARGE_BYTES));
    t.is(server.unreadResponseBytes, 0);
    other.text = "";
    other.socket.write(get("2"));
    await waitUntil(() => exchanges.length === 1);
    t.is(exchanges.length, 1);
});

test.serial("a caller that reads nothing of its response for the timeout is cut off, and one whose answer takes long is not", async (t) => {
    const { server, exchanges, open } = await startServer(t);
    server.setLimits(LIMITS);
    const [stalled, waiting] = await Promise.all([open(), open()]);
    stalled.socket.pause().write(get("0"));
    await waitUntil(() => exchanges.length === 1);
    exchanges[0]?.respond({ status: 200, headers: [], body: Buffer.alloc(LARGE_BYTES, "x") });
    waiting.socket.write(get("1"));
    const untilMs = performance.now() + WAIT_MS;
    while (server.unreadResponseBytes > 0 && performance.now() < untilMs) {
        await delay(50);
    }
    t.is(server.unreadResponseBytes, 0);
    exchanges[1]?.respond({ status: 200, headers: [], body: Buffer.from("late") });
    await waitUntil(() => waiting.text.includes("late"));
    t.regex(waiting.text, /^HTTP\/1.1 200 /);
});

// Guards against a process without descriptors or memory for further callers.
test.serial("silent connections beyond the limit are closed, oldest first, and new callers are served", async (t) => {
    const { server, exchanges, refusals, open } = await startServer(t);
    // On a busy machine, the header timeout would close the first connections before the last one is open.
    server.setLimits({ ...LIMITS, headerTimeoutMs: 60_000 });
    const working = await open();
    working.socket.write(get("0"));
    for (let opened = 0; opened < 2_100; opened += 100) {
        await Promise.all(Array.from({ length: 100 }, open));
    }
    const caller = await open();
    caller.socket.write(get("1"));
    await waitUntil(() => exchanges.length === 2);
    exchanges.forEach(answer);
    await waitUntil(() => answersIn(caller).length + answersIn(working).length === 2);
    t.deepEqual([...answersIn(working), ...answersIn(caller)], ["(0)", "(1)"]);
    t.true(server.connectionCount <= 2_048, `${server.connectionCount} connections`);
    t.true(refusals.every((holder) => holder === "caller connections") && refusals.length > 0);
});

const unreadableCases = [
    { title: "bytes that are no HTTP", bytes: "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", status: /^HTTP\/1.1 400 / },
    { title: "a CONNECT request", bytes: "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", status: /^HTTP\/1.1 405 / },
    { title: "an unknown expectation", bytes: get("1", "Expect: x\r\nTransfer-Encoding: chunked\r\n"), status: /^HTTP\/1.1 417 / },
    { title: "a chunk without a length", bytes: `${get("1", "Transfer-Encoding: chunked\r\n")}zz\r\n`, status: /^HTTP\/1.1 400 / },
];

for (const { title, bytes, status } of unreadableCases) {
    test.serial(`${title} and an endless rest are answered, and the connection is closed without a reset`, async (t) => {
        const { exchanges, open } = await startServer(t);
        const caller = await open();
        const { socket } = caller;
        socket.write(bytes, "latin1");
        const timer = setInterval(() => socket.writable && socket.write("1\r\nz\r\n".repeat(1_000)), 1);
        await Promise.race([new Promise((resolve) => socket.once("end", resolve)), new Promise((resolve) => socket.once("close", resolve)), delay(WAIT_MS)]);
        clearInterval(timer);
        t.regex(caller.text, status);
        t.deepEqual(caller.errors, []);
        t.is(exchanges.length, 0);
    });

    test.serial(`${title} behind a request does not cost that request its answer`, async (t) => {
        const { exchanges, open } = await startServer(t);
        const caller = await open();
        caller.socket.write(get("7") + bytes, "latin1");
        await waitUntil(() => exchanges.length === 1);
        await delay(50);
        exchanges.forEach(answer);
        await Promise.race([once(caller.socket, "end"), delay(WAIT_MS)]);
        t.regex(caller.text, /^HTTP\/1.1 200 [^]*\(7\)/);
        t.deepEqual(caller.errors, []);
        t.is(exchanges.length, 1);
    });
}

test.serial("a caller that waits for a go-ahead gets it, or the refusal at once if its body is too long", async (t) => {
    const { server, exchanges, open } = await startServer(t);
    server.setLimits(LIMITS);
    const fitting = await open();
    fitting.socket.write(get("1", "Expect: 100-continue\r\nContent-Length: 4\r\n"));
    await waitUntil(() => fitting.text !== "");
    t.regex(fitting.text, /^HTTP\/1.1 100 /);
    fitting.socket.write("body");
    await waitUntil(() => exchanges.length === 1);
    t.is(exchanges[0]?.request.body.toString(), "body");
    const tooLong = await open();
    tooLong.socket.write(get("1", "Expect: 100-continue\r\nContent-Length: 100001\r\n"));
    await waitUntil(() => tooLong.text !== "");
    t.regex(tooLong.text, /^HTTP\/1.1 413 /);
});

// Guards against a heap that is filled by many connections, each of which stays within its own limit.
test.serial("requests pipelined on many connections are bounded together, and a caller after them is served", async (t) => {
    const { server, exchanges, refusals, open } = await startServer(t);
    const callers = await Promise.all(Array.from({ length: 20 }, open));
    callers.forEach(({ socket }) => socket.write(get("0").repeat(2_000)));
    let maxOpen = 0;
    for (let checks = 0; checks < 100; checks += 1) {
        maxOpen = Math.max(maxOpen, server.openRequestCount);
        await delay(5);
    }
    t.log(`at most ${maxOpen} open`);
    t.true(maxOpen <= 4_096, `${maxOpen} open`);
    t.true(refusals.includes("pipelined requests of all callers"));
    callers.forEach(({ socket }) => socket.destroy());
    await waitUntil(() => server.connectionCount === 0);
    const other = await open();
    other.socket.write(get("99"));
    await waitUntil(() => exchanges.some(({ request }) => request.requestId === "99"));
    t.true(exchanges.some(({ request }) => request.requestId === "99"));
});

test.serial("a request that asks for an upgrade, and one of HTTP/1.0, are served as usual", async (t) => {
    const { exchanges, open } = await startServer(t);
    const upgrade = await open();
    upgrade.socket.write(get("1", "Connection: Upgrade\r\nUpgrade: websocket\r\n"));
    await waitUntil(() => exchanges.length === 1);
    t.deepEqual(exchanges[0]?.request.headers.filter(([name]) => /upgrade/i.test(name)), []);
    const old = await open();
    old.socket.write("GET / HTTP/1.0\r\nId: 2\r\n\r\n");
    await waitUntil(() => exchanges.length === 2);
    exchanges.forEach(answer);
    await Promise.race([once(old.socket, "end"), delay(WAIT_MS)]);
    t.deepEqual([...answersIn(upgrade), ...answersIn(old)], ["(1)", "(2)"]);
});

test.serial("a body that comes byte by byte is refused once its caller does not wait any longer", async (t) => {
    const { exchanges, open } = await startServer(t);
    const caller = await open();
    caller.socket.write(get("1", "Patience: 400\r\nContent-Length: 1000\r\n"));
    const timer = setInterval(() => caller.socket.writable && caller.socket.write("x"), 50);
    t.teardown(() => clearInterval(timer));
    await waitUntil(() => caller.text !== "");
    t.regex(caller.text, /^HTTP\/1.1 408 /);
    t.is(exchanges.length, 0);
});
