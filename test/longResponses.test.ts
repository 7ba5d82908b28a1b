import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { EndpointServer } from "../bench/processes/EndpointServer/index.js";
import { FaultKind } from "../bench/processes/FaultKind.js";
import { ProcessFleet } from "../bench/processes/ProcessFleet/index.js";
import { responseBody } from "../bench/processes/responseBody/index.js";
import { startProcesses } from "./fixtures/startProcesses.js";

/** Proxy beside the endpoint. */
const GATE_VM = 0;
/** Proxy that the caller is connected to. */
const ENTRY_VM = 1;
const PROXY_COUNT = 2;
/** More than the window of a response, and short enough to be read within the grace period. */
const LONG_BYTES = 24_000_000;
/** More than the kernel takes of it: Linux lets a receive buffer grow to 32 MB (tcp_rmem), and a send buffer to 4 MB. */
const ENDLESS_BYTES = 96_000_000;
/** More than the kernel takes of it, and less than a proxy holds in all. */
const PAUSED_BYTES = 40_000_000;
const WARM_UP_MS = 2_500;
/** Time that a caller reads before the fault, and the process then has to see a pause, in ms. */
const PAUSE_MS = 1_000;
const END_TIMEOUT_MS = 20_000;
const TIMEOUT_MS = 90_000;
const HEAD_END = "\r\n\r\n";

/** Caller that reads a part of a response, pauses, and reads the rest. */
class PausingCaller {
    private pieces: Buffer[] = [];
    isClosed = false;

    private constructor(readonly socket: Socket) {
        socket.on("error", () => undefined);
        socket.on("data", (piece: Buffer) => {
            this.pieces.push(piece);
            if (this.receivedBytes > LONG_BYTES / 8 && this.pausesLeft > 0) {
                this.pausesLeft -= 1;
                socket.pause();
            }
        });
        socket.once("close", () => {
            this.isClosed = true;
        });
    }

    private pausesLeft = 1;

    static create(address: string, path: string, id: string): PausingCaller {
        const [host, port] = address.split(":");
        const socket = connect({ host, port: Number(port) });
        socket.write(`GET ${path} HTTP/1.1\r\nHost: safe.example\r\nAttempt-Id: ${id}\r\nDeadline-Ms: 9000\r\n\r\n`);
        return new PausingCaller(socket);
    }

    get receivedBytes(): number {
        return this.pieces.reduce((sum, { length }) => sum + length, 0);
    }

    get isPaused(): boolean {
        return this.pausesLeft === 0;
    }

    /** Body received so far. */
    get body(): Buffer {
        const received = Buffer.concat(this.pieces);
        return received.subarray(received.indexOf(HEAD_END) + HEAD_END.length);
    }
}

async function waitUntil(condition: () => boolean, timeoutMs: number): Promise<boolean> {
    for (let waitedMs = 0; !condition() && waitedMs < timeoutMs; waitedMs += 20) {
        await delay(20);
    }
    return condition();
}

/** Starts a long response, causes a fault while its caller pauses, and lets the caller read on. Returns the caller. */
async function readAcross(
    t: ExecutionContext,
    block: string,
    lengthBytes: number,
    cause: (fleet: ProcessFleet, endpointSockets: readonly Socket[]) => unknown,
): Promise<PausingCaller> {
    t.timeout(TIMEOUT_MS);
    const fleet = await startProcesses(block, PROXY_COUNT);
    const sockets: Socket[] = [];
    const takeConnection = (socket: Socket): boolean => {
        sockets.push(socket);
        return false;
    };
    const endpoints = await Promise.all(Array.from({ length: PROXY_COUNT }, (_value, vm) => {
        const take = vm === GATE_VM ? takeConnection : undefined;
        return EndpointServer.create(vm, fleet.serviceOf(vm), fleet.addressesOf(vm), [], () => performance.now(), () => false, take);
    }));
    const caller = await delay(WARM_UP_MS).then(() => PausingCaller.create(fleet.addressesOf(ENTRY_VM).outbound, `/w5/s${lengthBytes}/`, "long"));
    try {
        t.true(await waitUntil(() => caller.isPaused, END_TIMEOUT_MS), `${caller.receivedBytes} bytes`);
        await delay(PAUSE_MS);
        await cause(fleet, sockets);
        await delay(PAUSE_MS);
        caller.socket.resume();
        await waitUntil(() => caller.isClosed || caller.body.length >= lengthBytes, END_TIMEOUT_MS);
        t.deepEqual(fleet.faults.filter(({ kind }) => kind === FaultKind.OwnEnd), []);
        return caller;
    }
    finally {
        caller.socket.destroy();
        endpoints.forEach((endpoint) => endpoint.close());
        await fleet.close(false);
    }
}

for (const [index, [name, role]] of ([["beside the endpoint", GATE_VM], ["of the caller", ENTRY_VM]] as const).entries()) {
    // Guards against long responses that a planned stop cuts off.
    test.serial(`a planned stop of the proxy ${name} lets a long response finish`, async (t) => {
        const caller = await readAcross(t, `127.232.${index + 1}`, LONG_BYTES, (fleet) => fleet.signal(`proxy-${role}`, FaultKind.Terminate));
        t.is(caller.body.length, LONG_BYTES);
        t.true(caller.body.equals(responseBody("long", LONG_BYTES)));
    });
}

// Guards against a response that a planned stop cuts off because its caller reads on only after the grace period.
test.serial("a long response whose caller pauses until the proxy beside the endpoint has stopped is whole", async (t) => {
    const caller = await readAcross(t, "127.232.5", PAUSED_BYTES, (fleet) => {
        fleet.signal(`proxy-${GATE_VM}`, FaultKind.Terminate);
        return fleet.waitForExit(`proxy-${GATE_VM}`, END_TIMEOUT_MS);
    });
    t.is(caller.body.length, PAUSED_BYTES);
    t.true(caller.body.equals(responseBody("long", PAUSED_BYTES)));
});

const FAULTS: Record<string, (fleet: ProcessFleet, endpointSockets: readonly Socket[]) => void> = {
    "the proxy beside the endpoint is killed": (fleet) => fleet.signal(`proxy-${GATE_VM}`, FaultKind.Kill),
    "the endpoint cuts it off": (_fleet, sockets) => sockets.forEach((socket) => socket.resetAndDestroy()),
};

for (const [index, [fault, cause]] of Object.entries(FAULTS).entries()) {
    // Guards against a caller that takes a part of a response for the whole, or waits for the rest for ever.
    test.serial(`a long response ends incomplete, with its connection, if ${fault}`, async (t) => {
        const caller = await readAcross(t, `127.232.${index + 3}`, ENDLESS_BYTES, cause);
        t.true(caller.isClosed);
        t.true(caller.body.length < ENDLESS_BYTES, `${caller.body.length} bytes`);
    });
}
