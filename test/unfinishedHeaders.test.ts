import { readdirSync, readFileSync } from "node:fs";
import { get } from "node:http";
import { connect, type Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { EndpointServer } from "../bench/processes/EndpointServer/index.js";
import { FaultKind } from "../bench/processes/FaultKind.js";
import { ProcessFleet } from "../bench/processes/ProcessFleet/index.js";
import { startProcesses } from "./fixtures/startProcesses.js";

/** Old generation of each process in megabytes, instead of 120 or 160, so that a small crowd shows what thousands do in a deployment. */
const HEAP_MEGABYTES = 40;
/** Limit on the resident memory, in megabytes: 62 of an idle process, and more than what is left of its old generation. */
const MAX_RESIDENT_MB = 120;
/** Limit on the open descriptors beside those of the crowd. */
const MAX_OTHER_DESCRIPTORS = 100;
const KILOBYTES_PER_MEGABYTE = 1_024;
/** Time for which the crowd stays after its last byte, in ms; less than the time that a header section may take. */
const STAY_MS = 1_500;
const WARM_UP_MS = 2_500;
/** Time in which an ordinary request must be answered; long, since the machine may be busy. */
const MAX_ANSWER_MS = 20_000;
const POLL_INTERVAL_MS = 100;
const STATUS_OK = 200;

interface Crowd {
    readonly port: string;
    readonly process: string;
    readonly addressesOf: (fleet: ProcessFleet) => readonly string[];
    /** Number of connections to each address. */
    readonly connections: number;
    /** Size of the unfinished header section of each connection. */
    readonly bytes: number;
}

const crowds: readonly Crowd[] = [
    {
        port: "port for callers",
        process: "proxy-0",
        addressesOf: (fleet) => [fleet.addressesOf(0).outbound],
        connections: 500,
        bytes: 14_000,
    },
    {
        port: "ports for links and tunnels",
        process: "proxy-0",
        addressesOf: (fleet) => [fleet.listenAddressesOf("proxy-0").link, fleet.listenAddressesOf("proxy-0").tunnel ?? ""],
        connections: 1_500,
        bytes: 2_000,
    },
    {
        port: "ports for heartbeats, readiness and metrics",
        process: "proxy-0",
        addressesOf: (fleet) => [fleet.addressesOf(0).control, fleet.addressesOf(0).ready, fleet.metricsAddressOf("proxy-0")],
        connections: 200,
        bytes: 14_000,
    },
    {
        port: "port for operators",
        process: "control-0",
        addressesOf: (fleet) => [fleet.operatorAddresses[0] ?? ""],
        connections: 500,
        bytes: 14_000,
    },
];

/** Beginning of a header section of fields of a few characters. */
function createSection(bytes: number): string {
    let section = "GET / HTTP/1.1\r\n";
    for (let number = 0; section.length < bytes; number += 1) {
        section += `${(number + 100).toString(36)}:xy\r\n`;
    }
    return section;
}

/** Opens a connection that sends an unfinished header section, and resolves once it is sent or the connection has ended. */
function open(address: string, section: string, sockets: Socket[]): Promise<void> {
    const [host, port] = address.split(":");
    return new Promise((resolve) => {
        const socket = connect({ host, port: Number(port) });
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => resolve());
        socket.write(section, () => resolve());
        socket.resume();
    });
}

function call(address: string): Promise<number | undefined> {
    const [host, port] = address.split(":");
    const headers = { "host": "safe.example", "attempt-id": "c-1" };
    return new Promise((resolve) => {
        const sent = get({ host, port, path: "/w1/s10/", headers, agent: false, timeout: MAX_ANSWER_MS }, (response) => {
            response.resume();
            response.on("end", () => resolve(response.statusCode));
            response.on("error", () => resolve(undefined));
        });
        sent.on("timeout", () => sent.destroy());
        sent.on("error", () => resolve(undefined));
    });
}

function residentMegabytes(pid: number): number {
    return Number(/VmRSS:\s*(\d+)/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1] ?? 0) / KILOBYTES_PER_MEGABYTE;
}

/** Reads a figure of a process; 0 if the process has ended, which the faults of the fleet tell. */
function readOrZero(read: () => number): number {
    try {
        return read();
    }
    catch {
        return 0;
    }
}

async function runCrowd(t: ExecutionContext, crowd: Crowd, block: string): Promise<void> {
    const fleet = await startProcesses(block, 1, undefined, HEAP_MEGABYTES);
    const endpoint = await EndpointServer.create(0, fleet.serviceOf(0), fleet.addressesOf(0), [], () => performance.now());
    const sockets: Socket[] = [];
    let maxMegabytes = 0;
    let maxDescriptors = 0;
    const watch = setInterval(() => {
        const pid = fleet.pidOf(crowd.process) ?? 0;
        maxMegabytes = Math.max(maxMegabytes, readOrZero(() => residentMegabytes(pid)));
        maxDescriptors = Math.max(maxDescriptors, readOrZero(() => readdirSync(`/proc/${pid}/fd`).length));
    }, POLL_INTERVAL_MS);
    try {
        await delay(WARM_UP_MS);
        const idleMegabytes = Math.round(maxMegabytes);
        const section = createSection(crowd.bytes);
        const addresses = crowd.addressesOf(fleet);
        await Promise.all(addresses.flatMap((address) => Array.from({ length: crowd.connections }, () => open(address, section, sockets))));
        await delay(STAY_MS);
        const openCount = sockets.filter(({ destroyed }) => !destroyed).length;
        const ends = fleet.faults.filter(({ kind }) => kind === FaultKind.OwnEnd);
        t.log(`${idleMegabytes} MB resident before, ${Math.round(maxMegabytes)} MB with the crowd, ${maxDescriptors} descriptors, ${openCount} of ${sockets.length} connections open`);
        t.deepEqual(ends, []);
        t.is(await call(fleet.addressesOf(0).outbound), STATUS_OK);
        t.deepEqual(fleet.faults.filter(({ kind }) => kind === FaultKind.OwnEnd), []);
        t.true(maxMegabytes < MAX_RESIDENT_MB, `${maxMegabytes} MB`);
        t.true(maxDescriptors < sockets.length + MAX_OTHER_DESCRIPTORS, `${maxDescriptors} descriptors`);
    }
    finally {
        clearInterval(watch);
        sockets.forEach((socket) => socket.destroy());
        endpoint.close();
        await fleet.close(false);
    }
}

for (const [index, crowd] of crowds.entries()) {
    // Guards against a process that runs out of memory by header sections that do not end: each short field takes many times its bytes.
    test.serial(`connections to the ${crowd.port} that send most of a header section and stop end no process`, async (t) => {
        await runCrowd(t, crowd, `127.223.${index + 1}`);
    });
}
