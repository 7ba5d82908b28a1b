import { EventEmitter, once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import test from "ava";
import { collectBody } from "../collectBody/index.js";
import { PooledRequest } from "../PooledRequest.js";
import { ConnectionPool } from "./index.js";

const ANSWER = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/** Server that answers each request on its connections, except on those told to be mute. */
async function startServer(sockets: Socket[], mute: Set<Socket>): Promise<Server> {
    const server = createServer((socket) => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.on("data", () => {
            if (!mute.has(socket)) {
                socket.write(ANSWER);
            }
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return server;
}

function request(signal = new EventEmitter()): PooledRequest {
    return { method: "POST", path: "/", headers: {}, body: undefined, needsProof: true, signal };
}

async function send(pool: ConnectionPool): Promise<number> {
    const answer = await pool.request(request());
    await collectBody(answer.body, 100);
    await new Promise((resolve) => setImmediate(resolve));
    return answer.connectionBornAtMs;
}

test("a connection that has just answered is used again", async (t) => {
    const sockets: Socket[] = [];
    const server = await startServer(sockets, new Set());
    const pool = ConnectionPool.create(`127.0.0.1:${(server.address() as AddressInfo).port}`, 4);
    await send(pool);
    await send(pool);
    t.is(sockets.length, 1);
    pool.close();
    server.close();
});

test("when a connection goes mute, all connections of its age are retired and new work gets a new one", async (t) => {
    const sockets: Socket[] = [];
    const mute = new Set<Socket>();
    const server = await startServer(sockets, mute);
    const pool = ConnectionPool.create(`127.0.0.1:${(server.address() as AddressInfo).port}`, 8);
    const answers = await Promise.all([pool.request(request()), pool.request(request())]);
    await Promise.all(answers.map((answer) => collectBody(answer.body, 100)));
    await new Promise((resolve) => setImmediate(resolve));
    sockets.forEach((socket) => mute.add(socket));
    const signal = new EventEmitter();
    let muteBornAtMs = 0;
    const stuck = pool.request({ ...request(signal), onConnection: (bornAtMs) => muteBornAtMs = bornAtMs });
    t.is(pool.retire(Math.max(muteBornAtMs, ...answers.map((answer) => answer.connectionBornAtMs))), 2);
    t.true(await send(pool) > muteBornAtMs);
    t.is(sockets.length, 3);
    signal.emit("abort");
    await t.throwsAsync(stuck);
    pool.close();
    server.close();
});

test("a refused connection is an error of the connect step", async (t) => {
    const server = await startServer([], new Set());
    const { port } = server.address() as AddressInfo;
    server.close();
    const pool = ConnectionPool.create(`127.0.0.1:${port}`, 4);
    await t.throwsAsync(pool.request(request()), { code: "ECONNREFUSED" });
    pool.close();
});
