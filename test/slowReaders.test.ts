import { readdirSync, readFileSync } from "node:fs";
import { request } from "node:http";
import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { Packr, Unpackr } from "msgpackr";
import { WebSocket } from "ws";
import { EndpointServer } from "../bench/processes/EndpointServer/index.js";
import { FaultKind } from "../bench/processes/FaultKind.js";
import { ProcessFleet } from "../bench/processes/ProcessFleet/index.js";
import { fleetKey } from "../bench/processes/fleetKey.js";
import { deriveToken } from "../src/http/deriveToken/index.js";
import { RequestKind } from "../src/model/RequestKind.js";
import { Frame } from "../src/tunnel/Frame.js";
import { FrameKind } from "../src/tunnel/FrameKind.js";
import { GateReplyKind } from "../src/tunnel/GateReplyKind.js";
import { WorkOffer } from "../src/tunnel/WorkOffer.js";
import { startProcesses } from "./fixtures/startProcesses.js";

const PROXY_COUNT = 2;
/** Proxy beside the endpoint of service `alpha`, which sends the responses. */
const SENDER_VM = 0;
/** Proxy beside the endpoint of service `beta`, which receives the uploads. */
const RECEIVER_VM = 1;
const CROWD = 300;
/** Time between the arrivals of two callers, in ms: the endpoint has room for all of them. */
const ARRIVAL_INTERVAL_MS = 20;
/** Time for which all callers stay after the last one has arrived, in ms. */
const STAY_MS = 4_000;
const RESPONSE_BYTES = 2_000_000;
/** Callers of responses of which the kernel takes only a part: its send buffers hold 4 MB with their overhead. */
const LONG_CROWD = 100;
const LONG_RESPONSE_BYTES = 6_000_000;
const UPLOAD_COUNT = 60;
const UPLOAD_BYTES = 1_000_000;
const READ_INTERVAL_MS = 100;
/** Bytes that a slow reader takes at a time. */
const READ_BYTES = 1_024;
const DEADLINE_MS = 9_000;
const MEGABYTE = 1_024 * 1_024;
/** Bound on the resident memory of a proxy beside a crowd, in bytes. */
const MAX_CROWD_BYTES = 150 * MEGABYTE;
/** Bound on the resident memory of a proxy that passes on one long response, in bytes. */
const MAX_CALM_BYTES = 120 * MEGABYTE;
/** Bound on the open descriptors of a proxy: one for each caller and one for its request at the endpoint, and those of an idle process. */
const MAX_DESCRIPTORS = 2 * CROWD + 200;
const ORDINARY_ATTEMPTS = 60;
const ORDINARY_INTERVAL_MS = 500;
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;
const TIMEOUT_MS = 150_000;
const LENGTH_20_MB = 20 * MEGABYTE;
const LENGTH_60_MB = 60 * MEGABYTE;

interface Answer {
    readonly status: number | undefined;
    readonly lengthBytes: number;
    readonly isComplete: boolean;
}

/** Sends a request and reads its response without keeping it. */
function ask(address: string, path: string, id: string): Promise<Answer> {
    const [host, port] = address.split(":");
    const headers = { "Host": "safe.example", "Attempt-Id": id, "Deadline-Ms": String(DEADLINE_MS) };
    return new Promise((resolve) => {
        let lengthBytes = 0;
        const sent = request({ host, port, path, headers, agent: false }, (response) => {
            const finish = (): void => resolve({ status: response.statusCode, lengthBytes, isComplete: response.complete });
            response.on("data", (piece: Buffer) => lengthBytes += piece.length);
            response.on("end", finish);
            response.on("error", finish);
        });
        sent.on("error", () => resolve({ status: undefined, lengthBytes, isComplete: false }));
        sent.end();
    });
}

/** Opens the connection of a caller that has sent a request and reads nothing yet. */
function openCaller(address: string, path: string, id: string): Socket {
    const [host, port] = address.split(":");
    const socket = connect({ host, port: Number(port) });
    socket.pause();
    socket.on("error", () => undefined);
    socket.write(`GET ${path} HTTP/1.1\r\nHost: safe.example\r\nAttempt-Id: ${id}\r\nDeadline-Ms: ${DEADLINE_MS}\r\n\r\n`);
    return socket;
}

/** Reads a little from a paused socket at regular intervals. */
function readSlowly(socket: Socket): void {
    const timer = setInterval(() => {
        socket.read(READ_BYTES);
        if (socket.destroyed) {
            clearInterval(timer);
        }
    }, READ_INTERVAL_MS);
    socket.once("close", () => clearInterval(timer));
}

function openUpload(address: string, id: string): Socket {
    const [host, port] = address.split(":");
    const socket = connect({ host, port: Number(port) });
    socket.on("error", () => undefined);
    socket.resume();
    socket.write(`POST /w1/s10/ HTTP/1.1\r\nHost: unsafe.example\r\nAttempt-Id: ${id}\r\nDeadline-Ms: ${DEADLINE_MS}\r\n`
        + `Content-Length: ${UPLOAD_BYTES}\r\n\r\n`);
    socket.write(Buffer.alloc(UPLOAD_BYTES, "z"));
    return socket;
}

/** Opens a tunnel on which one request is offered and confirmed, and nothing is read afterwards. */
function openTunnel(address: string, id: string, acceptsStream: boolean): WebSocket {
    const packr = new Packr({ useRecords: false });
    const unpackr = new Unpackr({ useRecords: false });
    const webSocket = new WebSocket(`ws://${address}/`, { perMessageDeflate: false, headers: { authorization: deriveToken(fleetKey) } });
    const send = (frame: Frame): void => webSocket.send(packr.pack(frame));
    const offer: WorkOffer = {
        key: id,
        requestId: id,
        service: "alpha",
        callerService: "",
        endpointId: "",
        requestKind: RequestKind.Repeatable,
        priority: 1,
        organisation: "",
        organisationPriority: 0,
        method: "GET",
        path: `/w5/s${LONG_RESPONSE_BYTES}/`,
        headers: [["Host", "safe.example"], ["Attempt-Id", id]],
        body: Buffer.alloc(0),
        hasBody: false,
        remainingMs: DEADLINE_MS,
        targetRemainingMs: DEADLINE_MS,
        usualMs: 10,
        maxQueueMs: DEADLINE_MS,
        needsGo: true,
        isTrial: false,
        isLastResort: false,
        isRepeat: false,
        callOfRepeatShare: 0,
        limitPerSecond: undefined,
    };
    webSocket.on("error", () => undefined);
    webSocket.on("message", (data: Buffer) => {
        const frame = unpackr.unpack(data) as Frame;
        if (frame.kind === FrameKind.Welcome) {
            // An entry says whether it takes a response in pieces; a gate that does not know the field sends it whole.
            send({ kind: FrameKind.Offer, offer: { ...offer, ...{ acceptsStream } } });
        }
        else if (frame.kind === FrameKind.Reply && frame.reply.kind === GateReplyKind.Granted) {
            send({ kind: FrameKind.Confirm, key: id });
            webSocket.pause();
        }
    });
    return webSocket;
}

/** Largest resident memory of a process since its start, in bytes. */
function peakResidentBytes(pid: number): number {
    return Number(/VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1]) * 1_024;
}

function countDescriptors(pid: number): number {
    return readdirSync(`/proc/${pid}/fd`).length;
}

interface Fixture {
    readonly fleet: ProcessFleet;
    /** Connections to the endpoint that receives uploads are read slowly while this is true. */
    readonly receiver: { isSlow: boolean };
}

async function withFleet(t: ExecutionContext, block: string, run: (fixture: Fixture) => Promise<void>): Promise<void> {
    t.timeout(TIMEOUT_MS);
    const fleet = await startProcesses(block, PROXY_COUNT);
    const receiver = { isSlow: false };
    const takeSlowly = (socket: Socket): boolean => {
        if (receiver.isSlow) {
            socket.pause();
            readSlowly(socket);
        }
        return receiver.isSlow;
    };
    const endpoints = await Promise.all(Array.from({ length: PROXY_COUNT }, (_value, vm) => EndpointServer.create(
        vm,
        fleet.serviceOf(vm),
        fleet.addressesOf(vm),
        [],
        () => performance.now(),
        () => false,
        vm === RECEIVER_VM ? takeSlowly : undefined,
    )));
    try {
        t.is(await askOrdinarily(fleet, SENDER_VM), STATUS_OK);
        await run({ fleet, receiver });
    }
    finally {
        endpoints.forEach((endpoint) => endpoint.close());
        await fleet.close(false);
    }
}

/** Asks for a small response until it is there, or long enough. Returns the status of the last answer. */
async function askOrdinarily(fleet: ProcessFleet, vm: number): Promise<number | undefined> {
    let status: number | undefined;
    for (let attempt = 0; attempt < ORDINARY_ATTEMPTS && status !== STATUS_OK; attempt += 1) {
        await delay(ORDINARY_INTERVAL_MS);
        const answer = await ask(fleet.addressesOf(vm).outbound, "/w5/s100/", `ordinary-${vm}-${attempt}`);
        status = answer.isComplete ? answer.status : undefined;
    }
    return status;
}

/** Sends a request again while it is refused as not run: a gate that is held up by other load refuses offers, whatever their response. */
async function askUntilAdmitted(address: string, path: string, id: string): Promise<Answer> {
    let answer = await ask(address, path, id);
    for (let attempt = 1; attempt < ORDINARY_ATTEMPTS && answer.status === STATUS_UNAVAILABLE; attempt += 1) {
        await delay(ORDINARY_INTERVAL_MS);
        answer = await ask(address, path, `${id}-${attempt}`);
    }
    return answer;
}

/** Checks that all proxies live within their bounds, and that each answers an ordinary request. */
async function checkProxies(t: ExecutionContext, fleet: ProcessFleet, maxBytes: number): Promise<void> {
    for (let vm = 0; vm < PROXY_COUNT; vm += 1) {
        const pid = fleet.pidOf(`proxy-${vm}`) ?? Number.NaN;
        const descriptors = countDescriptors(pid);
        const status = await askOrdinarily(fleet, vm);
        const peakBytes = peakResidentBytes(pid);
        t.log(`proxy-${vm}: at most ${Math.round(peakBytes / MEGABYTE)} MB resident, ${descriptors} descriptors, ordinary request: ${status}`);
        t.true(peakBytes < maxBytes, `proxy-${vm}: ${peakBytes} bytes`);
        t.true(descriptors < MAX_DESCRIPTORS, `proxy-${vm}: ${descriptors} descriptors`);
        t.is(status, STATUS_OK);
    }
    t.deepEqual(fleet.faults.filter(({ kind }) => kind === FaultKind.OwnEnd), []);
}

/** Lets connections arrive one after the other and stay for a while, and checks the proxies while they are there. */
async function checkBesideCrowd(
    t: ExecutionContext,
    fleet: ProcessFleet,
    count: number,
    open: (number: number) => { destroy?: () => void; terminate?: () => void },
): Promise<void> {
    const crowd: ReturnType<typeof open>[] = [];
    try {
        for (let number = 0; number < count; number += 1) {
            crowd.push(open(number));
            await delay(ARRIVAL_INTERVAL_MS);
        }
        await delay(STAY_MS);
        await checkProxies(t, fleet, MAX_CROWD_BYTES);
    }
    finally {
        crowd.forEach((member) => {
            member.destroy?.();
            member.terminate?.();
        });
    }
}

/** Address for callers of the proxy beside the endpoint, or of the other one, by turns. */
function outboundOf(fleet: ProcessFleet, number: number): string {
    return fleet.addressesOf(number % PROXY_COUNT).outbound;
}

// Guards against responses that are held whole for each caller that does not read: they once took 192 MB.
test.serial("callers that read nothing of their responses leave each proxy within its memory", async (t) => {
    await withFleet(t, "127.231.1", ({ fleet }) => checkBesideCrowd(t, fleet, CROWD, (number) =>
        openCaller(outboundOf(fleet, number), `/w5/s${RESPONSE_BYTES}/`, `unread-${number}`)));
});

// Guards against the same where the kernel does not take the whole responses.
test.serial("callers that read nothing of long responses leave each proxy within its memory", async (t) => {
    await withFleet(t, "127.231.2", ({ fleet }) => checkBesideCrowd(t, fleet, LONG_CROWD, (number) =>
        openCaller(outboundOf(fleet, number), `/w5/s${LONG_RESPONSE_BYTES}/`, `unread-${number}`)));
});

// Guards against the same by callers that no timeout of unread responses ends.
test.serial("callers that read a little of long responses at a time leave each proxy within its memory", async (t) => {
    await withFleet(t, "127.231.3", ({ fleet }) => checkBesideCrowd(t, fleet, LONG_CROWD, (number) => {
        const socket = openCaller(outboundOf(fleet, number), `/w5/s${LONG_RESPONSE_BYTES}/`, `slow-${number}`);
        readSlowly(socket);
        return socket;
    }));
});

for (const [index, acceptsStream] of [false, true].entries()) {
    // Guards against replies that pile up at a gate whose entries do not read.
    const entries = acceptsStream ? "entries that take responses in pieces" : "entries that take responses whole";
    test.serial(`${entries} and do not read replies leave each proxy within its memory`, async (t) => {
        await withFleet(t, `127.231.${4 + index}`, ({ fleet }) => checkBesideCrowd(t, fleet, LONG_CROWD, (number) =>
            openTunnel(fleet.listenAddressesOf(`proxy-${SENDER_VM}`).tunnel ?? "", `tunnel-${number}`, acceptsStream)));
    });
}

// Guards against responses that a proxy refuses, or holds whole, because of their length.
test.serial("a calm caller gets a response of 20 MB and one of 60 MB whole, and each proxy stays within its memory", async (t) => {
    await withFleet(t, "127.231.6", async ({ fleet }) => {
        for (const lengthBytes of [LENGTH_20_MB, LENGTH_60_MB]) {
            for (let vm = 0; vm < PROXY_COUNT; vm += 1) {
                const answer = await askUntilAdmitted(fleet.addressesOf(vm).outbound, `/w5/s${lengthBytes}/`, `calm-${lengthBytes}-${vm}`);
                t.deepEqual(answer, { status: STATUS_OK, lengthBytes, isComplete: true }, `through proxy-${vm}`);
            }
        }
        await checkProxies(t, fleet, MAX_CALM_BYTES);
    });
});

// Guards against request bodies that are held more than once while the endpoint does not take them.
test.serial("uploads to an endpoint that reads slowly leave each proxy within its memory", async (t) => {
    await withFleet(t, "127.231.7", async ({ fleet, receiver }) => {
        receiver.isSlow = true;
        await checkBesideCrowd(t, fleet, UPLOAD_COUNT, (number) => openUpload(outboundOf(fleet, number), `upload-${number}`));
    });
});
