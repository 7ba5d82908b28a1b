import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import test from "ava";
import { WebSocketServer } from "ws";
import { createFrameStreams } from "../createFrameStreams/index.js";
import { EndlessStream } from "../EndlessStream.js";
import { Tempo } from "../Tempo.js";
import { sendEndlessly } from "./index.js";

const DURATION_MS = 400;
const COUNT = 200;

async function receive(stream: EndlessStream, tempo: Tempo): Promise<string> {
    let text = "";
    const server = createServer((socket) => socket.on("data", (chunk: Buffer) => text += chunk.toString()));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    await sendEndlessly(socket, stream, tempo, AbortSignal.timeout(DURATION_MS));
    socket.destroy();
    server.close();
    return text;
}

test("a stream is its beginning and then whole pieces, and ends with its signal", async (t) => {
    const stream = { name: "s", prefix: Buffer.from("head "), piece: Buffer.from("1\r\nz\r\n") };
    t.regex(await receive(stream, Tempo.Trickle), /^head (1\r\nz\r\n){2,5}$/);
    const full = await receive(stream, Tempo.Full);
    t.true(full.startsWith("head 1\r\nz\r\n1\r\nz\r\n") && full.length > 1_000_000, `${full.length} bytes`);
    t.is(await receive({ ...stream, piece: Buffer.alloc(0) }, Tempo.Full), "head ");
});

test("frames of a faulty process are frames that a WebSocket server reads", async (t) => {
    const server = new WebSocketServer({ host: "127.0.0.1", port: 0 });
    await once(server, "listening");
    const kinds = new Set<string>();
    const errors: Error[] = [];
    server.on("connection", (webSocket) => {
        webSocket.on("message", (data: Buffer) => kinds.add(data.toString("latin1")));
        webSocket.on("ping", () => kinds.add("ping"));
        webSocket.on("error", (error) => errors.push(error));
    });
    const text = "a text that is long enough to need a length of two bytes in its frame ".repeat(2);
    const group = Array.from({ length: COUNT }, (_value, index) => ({ text, index }));
    const { port } = server.address() as AddressInfo;
    for (const stream of createFrameStreams([group]).filter(({ name }) => name !== "bytes that are no frames")) {
        const socket = connect(port, "127.0.0.1");
        socket.write("GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n");
        socket.write("Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n");
        await sendEndlessly(socket, stream, Tempo.Steady, AbortSignal.timeout(DURATION_MS));
        socket.destroy();
    }
    server.close();
    t.deepEqual(errors, []);
    t.is(kinds.size, COUNT + 2);
    t.true(kinds.has("ping") && kinds.has("z"));
});
