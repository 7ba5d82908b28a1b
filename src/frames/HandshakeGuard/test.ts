import { once } from "node:events";
import test, { type ExecutionContext } from "ava";
import { WebSocket } from "ws";
import { findFreePorts } from "../../../bench/findFreePorts/index.js";
import { PeerServer } from "../PeerServer/index.js";
import { HandshakeGuard } from "./index.js";

interface Fixture {
    readonly guard: HandshakeGuard;
    readonly refusals: string[];
    readonly socket: WebSocket;
}

async function start(t: ExecutionContext, endsGuard: boolean): Promise<Fixture> {
    const [port = 0] = await findFreePorts(1);
    const refusals: string[] = [];
    const guard = HandshakeGuard.create((holder) => refusals.push(holder));
    const server = await PeerServer.create({
        host: "127.0.0.1",
        port,
        name: "test port",
        maxFrameBytes: 1_000_000,
        isAuthorized: () => true,
        recordRefusal: () => undefined,
        onError: () => undefined,
    }, (webSocket, networkSocket) => {
        webSocket.on("error", () => undefined);
        const endGuard = guard.watch(webSocket, networkSocket);
        webSocket.once("message", () => {
            if (endsGuard) {
                endGuard();
            }
        });
    });
    t.teardown(() => server.close());
    const socket = new WebSocket(`ws://127.0.0.1:${port}`, { perMessageDeflate: false });
    socket.on("error", () => undefined);
    await once(socket, "open");
    return { guard, refusals, socket };
}

// Guards against strangers that send large frames to a port that knows only after the handshake who they are.
test("a peer that sends much before the end of its handshake is closed", async (t) => {
    const { guard, refusals, socket } = await start(t, false);
    const closed = once(socket, "close");
    socket.send(Buffer.alloc(100_000));
    await closed;
    t.deepEqual(refusals, ["bytes before the end of a handshake"]);
    t.is(guard.pendingCount, 0);
});

test("a peer that does not end its handshake in time is closed", async (t) => {
    const { guard, refusals, socket } = await start(t, false);
    const startedAtMs = performance.now();
    await once(socket, "close");
    t.true(performance.now() - startedAtMs < 4_000);
    t.deepEqual(refusals, ["milliseconds of a handshake"]);
    t.is(guard.pendingCount, 0);
});

test("a peer may send much, and stay, after its handshake", async (t) => {
    const { guard, refusals, socket } = await start(t, true);
    socket.send("hello");
    await new Promise((resolve) => setTimeout(resolve, 100));
    t.is(guard.pendingCount, 0);
    socket.send(Buffer.alloc(100_000));
    await new Promise((resolve) => setTimeout(resolve, 3_300));
    t.is(socket.readyState, WebSocket.OPEN);
    t.deepEqual(refusals, []);
});
