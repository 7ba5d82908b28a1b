import { EventEmitter } from "node:events";
import type { Socket } from "node:net";
import test from "ava";
import { WebSocket } from "ws";
import { SocketLimits } from "../SocketLimits.js";
import { SocketBudget } from "./index.js";

const LIMITS: SocketLimits = {
    maxFrameBytes: 100_000,
    maxReceivingBytes: 100_000,
    maxReceivingTotalBytes: 150_000,
    maxSendingBytes: 100_000,
    maxSendingTotalBytes: 150_000,
    dropsUnread: false,
    maxDecodedBytes: 10_000,
};

class FakeWebSocket extends EventEmitter {
    readonly network = new EventEmitter();
    readonly taken: (() => void)[] = [];
    isTerminated = false;

    send(_data: Buffer, onTaken: () => void): void {
        this.taken.push(onTaken);
    }

    terminate(): void {
        this.isTerminated = true;
        this.emit("close");
    }
}

interface Fixture {
    readonly budget: SocketBudget;
    readonly refusals: string[];
    readonly open: () => [FakeWebSocket, WebSocket];
}

function createFixture(limits = LIMITS): Fixture {
    const refusals: string[] = [];
    const budget = SocketBudget.create("tunnels", limits, (holder) => refusals.push(holder));
    const open = (): [FakeWebSocket, WebSocket] => {
        const socket = new FakeWebSocket();
        budget.watch(socket as unknown as WebSocket, socket.network as unknown as Socket);
        return [socket, socket as unknown as WebSocket];
    };
    return { budget, refusals, open };
}

// Guards against a process that ends because one peer stops reading while others are served.
test("a peer that does not read is closed at its bound, and what it held is free again", (t) => {
    const { budget, refusals, open } = createFixture();
    const [lagging, webSocket] = open();
    const [reading, other] = open();
    for (let count = 0; count < 20 && !lagging.isTerminated; count += 1) {
        budget.send(webSocket, Buffer.alloc(10_000));
        budget.send(other, Buffer.alloc(10_000));
        reading.taken.forEach((onTaken) => onTaken());
        reading.taken.length = 0;
    }
    t.true(lagging.isTerminated);
    t.false(reading.isTerminated);
    lagging.taken.forEach((onTaken) => onTaken());
    t.is(budget.bufferedBytes, 0);
    t.deepEqual(refusals, ["tunnels: unread bytes of a peer"]);
});

// Guards against a change that is never replicated: its repetitions closed the link before a follower had read the first.
test("frames that are repeated anyway are dropped at the bound, and their peer stays open", (t) => {
    const { budget, refusals, open } = createFixture({ ...LIMITS, dropsUnread: true });
    const [lagging, webSocket] = open();
    for (let count = 0; count < 20; count += 1) {
        budget.send(webSocket, Buffer.alloc(10_000));
    }
    t.false(lagging.isTerminated);
    t.true(lagging.taken.length > 0 && lagging.taken.length < 20);
    t.true(refusals.length === 20 - lagging.taken.length);
    const heldBytes = budget.bufferedBytes;
    lagging.taken.forEach((onTaken) => onTaken());
    t.true(heldBytes <= LIMITS.maxSendingBytes);
    t.is(budget.bufferedBytes, 0);
});

// Guards against frames of a few bytes each, of which many more are held than their bytes tell.
test("frames that are not read count with what each takes besides its bytes", (t) => {
    const { budget, open } = createFixture();
    const [socket, webSocket] = open();
    for (let count = 0; count < 300; count += 1) {
        budget.send(webSocket, Buffer.alloc(1));
    }
    t.true(socket.isTerminated);
    t.true(socket.taken.length < 200);
});

// Guards against a frame larger than the bound that could never be sent, however fast its peer reads.
test("one frame is sent whatever its size if its peer has read all before", (t) => {
    const { budget, open } = createFixture();
    const [socket, webSocket] = open();
    budget.send(webSocket, Buffer.alloc(120_000));
    t.false(socket.isTerminated);
    t.is(socket.taken.length, 1);
});

test("if all peers together do not read enough, the one that holds most is closed", (t) => {
    const { budget, refusals, open } = createFixture();
    const sockets = [60_000, 80_000, 20_000].map((lengthBytes) => {
        const [socket, webSocket] = open();
        budget.send(webSocket, Buffer.alloc(lengthBytes));
        return socket;
    });
    t.deepEqual(sockets.map(({ isTerminated }) => isTerminated), [false, true, false]);
    t.true(budget.bufferedBytes < 90_000);
    t.deepEqual(refusals, ["tunnels: unread bytes"]);
});

test("pieces of frames that are not whole are bounded for each peer and for all, with what each piece takes", (t) => {
    const { budget, refusals, open } = createFixture();
    const [drip] = open();
    for (let count = 0; count < 300; count += 1) {
        drip.network.emit("data", Buffer.alloc(1));
    }
    t.true(drip.isTerminated);
    const [first] = open();
    const [second] = open();
    first.network.emit("data", Buffer.alloc(90_000));
    second.network.emit("data", Buffer.alloc(70_000));
    t.deepEqual([first.isTerminated, second.isTerminated], [true, false]);
    t.deepEqual(refusals, ["tunnels: unfinished bytes of a peer", "tunnels: unfinished bytes"]);
    second.emit("message");
    t.is(budget.receivingBytes, 0);
});

test("a frame that takes more than the limit once it is decoded is refused before", (t) => {
    const { budget, refusals } = createFixture();
    t.notThrows(() => budget.checkDecodedSize(Buffer.from([0x91, 0x80])));
    const hollow = Buffer.concat([Buffer.from([0xdc, 0, 200]), Buffer.alloc(200, 0x80)]);
    t.throws(() => budget.checkDecodedSize(hollow), { any: true, message: /a frame of 203 bytes/ });
    t.deepEqual(refusals, ["tunnels: bytes of a decoded frame"]);
});
