import { once } from "node:events";
import { connect } from "node:net";
import test, { type ExecutionContext } from "ava";
import { WebSocket } from "ws";
import { findFreePorts } from "../../../bench/findFreePorts/index.js";
import { PeerServer } from "./index.js";

async function start(t: ExecutionContext): Promise<{ readonly port: number; readonly server: PeerServer; readonly messages: Buffer[] }> {
    const [port = 0] = await findFreePorts(1);
    const messages: Buffer[] = [];
    const server = await PeerServer.create({
        host: "127.0.0.1",
        port,
        name: "test port",
        maxFrameBytes: 10_000,
        isAuthorized: (authorization) => authorization === "token",
        recordRefusal: () => undefined,
        onError: () => undefined,
    }, (webSocket) => webSocket.on("error", () => undefined).on("message", (data: Buffer) => messages.push(data)));
    t.teardown(() => server.close());
    return { port, server, messages };
}

async function open(port: number): Promise<WebSocket> {
    const socket = new WebSocket(`ws://127.0.0.1:${port}`, { perMessageDeflate: false, headers: { authorization: "token" } });
    socket.on("error", () => undefined);
    await once(socket, "open");
    return socket;
}

// Guards against a message of which each fragment is held as an object, or pins the whole read that it came in, until it ends.
test("a message in fragments closes its connection at the second one", async (t) => {
    const { port, server, messages } = await start(t);
    const socket = await open(port);
    const closed = once(socket, "close");
    socket.send("whole");
    socket.send("", { fin: false });
    socket.send("", { fin: false });
    const [code] = await closed as [number];
    t.is(code, 1_008);
    t.deepEqual(messages.map(String), ["whole"]);
    t.is(server.clients.size, 0);
});

test("a frame above the limit closes its connection", async (t) => {
    const { port } = await start(t);
    const socket = await open(port);
    const closed = once(socket, "close");
    socket.send(Buffer.alloc(10_001));
    t.is((await closed as [number])[0], 1_009);
});

// Guards against connections that take up descriptors and memory for minutes.
test("a connection that asks for nothing, or not to the end, is closed within seconds, and so is one that asks for something else", async (t) => {
    const { port } = await start(t);
    const closedAfterMs = async (text: string): Promise<number> => {
        const startedAtMs = performance.now();
        const socket = connect(port, "127.0.0.1").on("error", () => undefined).resume();
        socket.write(text);
        await once(socket, "close");
        return performance.now() - startedAtMs;
    };
    const durationsMs = await Promise.all(["", "GET / HTTP/1.1\r\nHost: a", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nz\r\n"]
        .map((text) => closedAfterMs(text)));
    durationsMs.forEach((durationMs) => t.true(durationMs < 4_000, `${durationMs} ms`));
});

test("only the token opens a WebSocket", async (t) => {
    const { port, server } = await start(t);
    const socket = new WebSocket(`ws://127.0.0.1:${port}`);
    const [error] = await once(socket, "error") as [Error];
    t.regex(error.message, /401/);
    t.is(server.clients.size, 0);
});
