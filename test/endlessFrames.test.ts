import { once } from "node:events";
import { readFileSync } from "node:fs";
import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { Packr, Unpackr } from "msgpackr";
import { request } from "undici";
import { WebSocket } from "ws";
import { FaultKind } from "../bench/processes/FaultKind.js";
import { ProcessFleet } from "../bench/processes/ProcessFleet/index.js";
import { deriveToken } from "../src/http/deriveToken/index.js";
import { computeKeyProof } from "../src/links/computeKeyProof/index.js";
import { Envelope } from "../src/links/Envelope.js";
import { MessageKind } from "../src/links/MessageKind.js";
import { Role } from "../src/model/Role.js";
import { FrameKind } from "../src/tunnel/FrameKind.js";
import { startProcesses } from "./fixtures/startProcesses.js";

const FLEET_KEY = "a key of the fleet that is long enough";
const LINK_PORT = 7_600;
const TUNNEL_PORT = LINK_PORT + 1;
/** Time for which each peer sends, in ms. */
const ATTACK_MS = 6_000;
/** Resident memory that a process may have at any time, in MB; the platform ends it at 350. */
const MAX_RESIDENT_MB = 300;
const SAMPLE_INTERVAL_MS = 25;
/** Time in which a process must still answer others, in ms. */
const ANSWER_TIMEOUT_MS = 2_000;
const CHUNK_BYTES = 64 * 1_024;
const MEGABYTE = 1_024 * 1_024;
const FIN = 0x80;
const BINARY = 2;
const CONTINUATION = 0;
const PONG = 10;
const MASKED = 0x80;
const LENGTH_64 = 127;
const MASK = Buffer.alloc(4);

/** Returns the head of a WebSocket frame of a client, with a mask that leaves the payload as it is. */
function createHead(opcode: number, lengthBytes: number): Buffer {
    const length = Buffer.alloc(8);
    length.writeUInt32BE(lengthBytes, 4);
    return lengthBytes < 126
        ? Buffer.concat([Buffer.from([opcode, MASKED | lengthBytes]), MASK])
        : Buffer.concat([Buffer.from([opcode, MASKED | LENGTH_64]), length, MASK]);
}

function createFrame(opcode: number, payload: Buffer): Buffer {
    return Buffer.concat([createHead(opcode, payload.length), payload]);
}

function repeat(piece: Buffer, lengthBytes: number): Buffer {
    return Buffer.alloc(Math.floor(lengthBytes / piece.length) * piece.length, piece);
}

/** MessagePack array of empty maps: one byte each on the wire, an object each in memory. */
function createHollowArray(count: number): Buffer {
    const head = Buffer.from([0xdd, 0, 0, 0, 0]);
    head.writeUInt32BE(count, 1);
    return Buffer.concat([head, Buffer.alloc(count, 0x80)]);
}

async function openWebSocket(host: string, port: number): Promise<Socket> {
    const socket = connect(port, host);
    socket.on("error", () => undefined);
    socket.write(`GET / HTTP/1.1\r\nHost: ${host}\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n`
        + `Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nAuthorization: ${deriveToken(FLEET_KEY)}\r\n\r\n`);
    await once(socket, "data");
    return socket;
}

/** Sends bytes as fast as they are read, until the time is over or the other end closes the connection. */
async function sendEndlessly(socket: Socket, bytes: Buffer, untilMs: number): Promise<void> {
    while (!socket.destroyed && performance.now() < untilMs) {
        if (!socket.write(bytes)) {
            await once(socket, "drain", { signal: AbortSignal.timeout(SAMPLE_INTERVAL_MS * 10) }).catch(() => undefined);
        }
        await new Promise(setImmediate);
    }
}

/** Opens a link and proves to know the fleet key, like a faulty process of the fleet. */
async function openLink(host: string): Promise<Socket> {
    const socket = new WebSocket(`ws://${host}:${LINK_PORT}`, { perMessageDeflate: false });
    socket.on("error", () => undefined);
    const unpackr = new Unpackr({ useRecords: true });
    const packr = new Packr({ useRecords: true });
    const upgraded = once(socket, "upgrade") as Promise<[{ readonly socket: Socket }]>;
    const [data] = await once(socket, "message") as [Buffer];
    const { message } = unpackr.unpack(data) as Envelope;
    const nonce = message.kind === MessageKind.Challenge ? message.nonce : "";
    const identity = { vm: "faulty", startedAtMs: 1, failureDomain: "a", roles: [Role.Proxy], linkAddress: `${host}:1` };
    socket.send(packr.pack({ message: { kind: MessageKind.Hello, identity, nonce: "n", proof: computeKeyProof(FLEET_KEY, nonce, "faulty") } }));
    await once(socket, "message");
    return (await upgraded)[0].socket;
}

interface AttackCase {
    readonly title: string;
    readonly target: "control-0" | "proxy-0";
    readonly attack: (host: string, untilMs: number) => Promise<unknown>;
}

const FRAGMENT_OF_NOTHING = createFrame(CONTINUATION, Buffer.alloc(0));
/** A fragment of one byte at the front of as many frames without a content as fill what one read returns. */
const FRAGMENT_THAT_PINS = Buffer.concat([
    createFrame(CONTINUATION, Buffer.alloc(1)),
    repeat(createFrame(FIN | PONG, Buffer.alloc(0)), CHUNK_BYTES),
]);

async function sendFragments(host: string, port: number, fragments: Buffer, connectionCount: number, untilMs: number): Promise<void> {
    await Promise.all(Array.from({ length: connectionCount }, async () => {
        while (performance.now() < untilMs) {
            const socket = await openWebSocket(host, port);
            socket.resume().write(createFrame(BINARY, Buffer.alloc(0)));
            await sendEndlessly(socket, fragments, untilMs);
        }
    }));
}

async function leaveFramesUnfinished(host: string, port: number, untilMs: number): Promise<void> {
    const piece = Buffer.alloc(MEGABYTE);
    await Promise.all(Array.from({ length: 12 }, async () => {
        const socket = await openWebSocket(host, port);
        socket.resume().write(createHead(FIN | BINARY, 45 * MEGABYTE));
        for (let sentBytes = 0; sentBytes < 40 * MEGABYTE && !socket.destroyed; sentBytes += piece.length) {
            await sendEndlessly(socket, piece, performance.now() + 1);
        }
    }));
    await delay(untilMs - performance.now());
}

const cases: readonly AttackCase[] = [
    {
        title: "messages of fragments without bytes and without end at the link port leave a control VM up",
        target: "control-0",
        attack: (host, untilMs) => sendFragments(host, LINK_PORT, repeat(FRAGMENT_OF_NOTHING, CHUNK_BYTES), 4, untilMs),
    },
    {
        title: "messages of fragments of one byte, each in a read of its own, leave a control VM up",
        target: "control-0",
        attack: (host, untilMs) => sendFragments(host, LINK_PORT, FRAGMENT_THAT_PINS, 2, untilMs),
    },
    {
        title: "messages of fragments of one byte, each in a read of its own, leave a proxy up",
        target: "proxy-0",
        attack: (host, untilMs) => sendFragments(host, TUNNEL_PORT, FRAGMENT_THAT_PINS, 2, untilMs),
    },
    {
        title: "large frames of strangers that never end leave a control VM up",
        target: "control-0",
        attack: (host, untilMs) => leaveFramesUnfinished(host, LINK_PORT, untilMs),
    },
    {
        title: "large frames that never end on many tunnels leave a proxy up",
        target: "proxy-0",
        attack: (host, untilMs) => leaveFramesUnfinished(host, TUNNEL_PORT, untilMs),
    },
    {
        title: "a tunnel that pings without reading the answers leaves a proxy up",
        target: "proxy-0",
        attack: async (host, untilMs) => {
            const pings = repeat(createFrame(FIN | BINARY, new Packr({ useRecords: false }).pack({ kind: FrameKind.Ping })), CHUNK_BYTES);
            while (performance.now() < untilMs) {
                const socket = await openWebSocket(host, TUNNEL_PORT);
                await sendEndlessly(socket.pause(), pings, untilMs);
            }
        },
    },
    {
        title: "a frame on a tunnel that decodes to a hundred times its bytes leaves a proxy up",
        target: "proxy-0",
        attack: async (host, untilMs) => {
            const socket = await openWebSocket(host, TUNNEL_PORT);
            await sendEndlessly(socket.resume(), createFrame(FIN | BINARY, createHollowArray(8 * MEGABYTE)), untilMs);
        },
    },
    {
        title: "a frame on a link that decodes to a hundred times its bytes leaves a control VM up",
        target: "control-0",
        attack: async (host, untilMs) => {
            const socket = await openLink(host);
            await sendEndlessly(socket, createFrame(FIN | BINARY, createHollowArray(8 * MEGABYTE)), untilMs);
        },
    },
    {
        title: "connections that never send are closed within seconds",
        target: "control-0",
        attack: async (host, untilMs) => {
            const sockets = Array.from({ length: 50 }, () => connect(LINK_PORT, host).on("error", () => undefined).resume());
            const upgraded = await Promise.all(Array.from({ length: 50 }, () => openWebSocket(host, LINK_PORT)));
            upgraded.forEach((socket) => socket.resume());
            await delay(untilMs - performance.now());
            const openCount = [...sockets, ...upgraded].filter((socket) => !socket.destroyed).length;
            if (openCount > 0) {
                throw new Error(`${openCount} of 100 silent connections are still open`);
            }
        },
    },
];

function readResidentMb(fleet: ProcessFleet, name: string): number {
    const pid = fleet.pidOf(name);
    try {
        return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid ?? 0}/status`, "utf8"))?.[1]) / 1_024 || 0;
    }
    catch {
        return 0;
    }
}

async function isAnswering(fleet: ProcessFleet, target: AttackCase["target"]): Promise<boolean> {
    const url = target === "proxy-0" ? `http://${fleet.addressesOf(0).ready}/readiness` : `http://${fleet.operatorAddresses[0] ?? ""}/config`;
    try {
        const { statusCode, body } = await request(url, { signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS) });
        await body.dump();
        return statusCode === 200;
    }
    catch {
        return false;
    }
}

async function runAttack(t: ExecutionContext, fleet: ProcessFleet, { target, attack }: AttackCase): Promise<void> {
    const host = (target === "proxy-0" ? fleet.addressesOf(0).ready : fleet.operatorAddresses[0] ?? "").split(":")[0] ?? "";
    const startMb = readResidentMb(fleet, target);
    let maxMb = 0;
    const timer = setInterval(() => {
        maxMb = Math.max(maxMb, readResidentMb(fleet, target));
    }, SAMPLE_INTERVAL_MS);
    let problem = "";
    const attacked = attack(host, performance.now() + ATTACK_MS).catch((thrown: unknown) => {
        problem = String(thrown);
    });
    await delay(ATTACK_MS / 2);
    const isAnsweringMeanwhile = await isAnswering(fleet, target);
    await attacked;
    clearInterval(timer);
    const ends = fleet.faults.filter(({ kind, process }) => kind === FaultKind.OwnEnd && process === target).map(({ exit }) => exit);
    t.log(`${target}: ${startMb.toFixed(0)} MB before, at most ${maxMb.toFixed(0)} MB, answers others: ${isAnsweringMeanwhile}`);
    t.deepEqual(ends, [], "the process ended by itself");
    t.is(problem, "");
    t.true(maxMb < MAX_RESIDENT_MB, `${maxMb.toFixed(0)} MB resident`);
    t.true(isAnsweringMeanwhile, "others were not answered");
}

cases.forEach((attackCase, index) => {
    test.serial(attackCase.title, async (t) => {
        t.timeout(60_000);
        const fleet = await startProcesses(`127.223.${index + 1}`, 1);
        try {
            await runAttack(t, fleet, attackCase);
        }
        finally {
            await fleet.close(false);
        }
    });
});
