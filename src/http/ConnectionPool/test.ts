import { EventEmitter, once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import test from "ava";
import { UNREADABLE_STATUSES } from "../../../test/fixtures/unreadableStatuses.js";
import { collectBody } from "../collectBody/index.js";
import { PooledRequest } from "../PooledRequest.js";
import { ConnectionPool } from "./index.js";

const RESPONSE = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/** Starts a server that responds to each request, except on the sockets in `unresponsive`. */
async function startServer(sockets: Socket[], unresponsive: Set<Socket>): Promise<Server> {
    const server = createServer((socket) => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.on("data", () => {
            if (!unresponsive.has(socket)) {
                socket.write(RESPONSE);
            }
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return server;
}

function request(signal = new EventEmitter()): PooledRequest {
    return { method: "POST", path: "/", headers: {}, body: undefined, needsLiveConnection: true, signal };
}

async function send(pool: ConnectionPool): Promise<number> {
    const response = await pool.request(request());
    await collectBody(response.body, 100);
    await new Promise((resolve) => setImmediate(resolve));
    return response.connectionOpenedAtMs;
}

test("a connection that has just received a response is reused", async (t) => {
    const sockets: Socket[] = [];
    const server = await startServer(sockets, new Set());
    const pool = ConnectionPool.create(`127.0.0.1:${(server.address() as AddressInfo).port}`, 4);
    await send(pool);
    await send(pool);
    t.is(sockets.length, 1);
    pool.close();
    server.close();
});

test("when a connection stops responding, all connections of its age are retired and the next request opens a new one", async (t) => {
    const sockets: Socket[] = [];
    const unresponsive = new Set<Socket>();
    const server = await startServer(sockets, unresponsive);
    const pool = ConnectionPool.create(`127.0.0.1:${(server.address() as AddressInfo).port}`, 8);
    const responses = await Promise.all([pool.request(request()), pool.request(request())]);
    await Promise.all(responses.map((response) => collectBody(response.body, 100)));
    await new Promise((resolve) => setImmediate(resolve));
    sockets.forEach((socket) => unresponsive.add(socket));
    const signal = new EventEmitter();
    let stuckOpenedAtMs = 0;
    const stuck = pool.request({ ...request(signal), onConnection: (openedAtMs) => stuckOpenedAtMs = openedAtMs });
    t.is(pool.retire(Math.max(stuckOpenedAtMs, ...responses.map((response) => response.connectionOpenedAtMs))), 2);
    t.true(await send(pool) > stuckOpenedAtMs);
    t.is(sockets.length, 3);
    signal.emit("abort");
    await t.throwsAsync(stuck);
    pool.close();
    server.close();
});

test("a refused connection is reported with its error code", async (t) => {
    const server = await startServer([], new Set());
    const { port } = server.address() as AddressInfo;
    server.close();
    const pool = ConnectionPool.create(`127.0.0.1:${port}`, 4);
    await t.throwsAsync(pool.request(request()), { code: "ECONNREFUSED" });
    pool.close();
});

// Guards against an answer with a status that cannot be passed on, and against a wait for the response after an "interim" one: the
// pool sets no timeout for it.
UNREADABLE_STATUSES.forEach((status) => {
    test(`a response with the status ${JSON.stringify(status)} fails at once, and its connection is not used again`, async (t) => {
        const server = createServer((socket) => {
            socket.on("error", () => undefined);
            socket.on("data", () => socket.write(RESPONSE.replace("200 OK", status).slice(0, -1)));
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const pool = ConnectionPool.create(`127.0.0.1:${(server.address() as AddressInfo).port}`, 4);
        const signal = new EventEmitter();
        const timer = setTimeout(() => signal.emit("abort"), 5_000);
        const error = await t.throwsAsync(pool.request(request(signal)));
        t.not(error.name, "AbortError");
        t.is(pool.size, 0);
        clearTimeout(timer);
        pool.close();
        server.close();
    });
});

test("an interim response is skipped", async (t) => {
    const server = createServer((socket) => {
        socket.on("error", () => undefined);
        socket.on("data", () => socket.write(`HTTP/1.1 103 Early Hints\r\n\r\n${RESPONSE}`));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const pool = ConnectionPool.create(`127.0.0.1:${(server.address() as AddressInfo).port}`, 4);
    t.is((await pool.request(request())).status, 200);
    pool.close();
    server.close();
});
