import { readFileSync } from "node:fs";
import { get } from "node:http";
import { connect } from "node:net";
import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { EndpointServer } from "../bench/processes/EndpointServer/index.js";
import { FaultKind } from "../bench/processes/FaultKind.js";
import { ProcessFleet } from "../bench/processes/ProcessFleet/index.js";
import { startProcesses } from "./fixtures/startProcesses.js";

/** Time for which each sender sends, in ms; the processes ended after 3.7 to 5.7 s. */
const SENDING_MS = 7_000;
const CALL_INTERVAL_MS = 200;
const CALL_TIMEOUT_MS = 3_000;
/** Time for which the endpoint has to become known, in ms. */
const WARM_UP_MS = 2_500;
/** Limit on the resident memory, in megabytes: 70 of an idle process, 32 of bodies, and the garbage of a heap of 120. */
const MAX_RESIDENT_MB = 220;
const KILOBYTES_PER_MEGABYTE = 1_024;
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;
const REPEATS_PER_WRITE = 4_096;

interface Case {
    readonly port: string;
    readonly process: string;
    readonly addressOf: (fleet: ProcessFleet) => string;
    readonly head: string;
    readonly piece: string;
    /** Status of the answer, or undefined if the sender may send on. */
    readonly status: RegExp | undefined;
    /** Answers that other clients may get. */
    readonly answers: readonly (number | undefined)[];
}

const SMALL_CHUNK = "1\r\nz\r\n";
const CHUNKED = "Host: safe.example\r\nTransfer-Encoding: chunked\r\n\r\n";

const cases: readonly Case[] = [
    {
        port: "port for callers",
        process: "proxy-0",
        addressOf: (fleet) => fleet.addressesOf(0).outbound,
        head: `POST /w1/s10/ HTTP/1.1\r\nAttempt-Id: 1\r\n${CHUNKED}`,
        piece: SMALL_CHUNK,
        answers: [STATUS_OK],
        status: /^HTTP\/1.1 413 /,
    },
    {
        port: "port for heartbeats",
        process: "proxy-0",
        addressOf: (fleet) => fleet.addressesOf(0).control,
        head: `PUT /instances/i-0 HTTP/1.1\r\n${CHUNKED}`,
        piece: SMALL_CHUNK,
        answers: [STATUS_OK],
        status: /^HTTP\/1.1 413 /,
    },
    {
        port: "readiness port",
        process: "proxy-0",
        addressOf: (fleet) => fleet.addressesOf(0).ready,
        head: `GET /readiness HTTP/1.1\r\n${CHUNKED}`,
        piece: SMALL_CHUNK,
        answers: [STATUS_OK],
        status: /^HTTP\/1.1 200 /,
    },
    {
        port: "metrics port",
        process: "proxy-0",
        addressOf: (fleet) => fleet.metricsAddressOf("proxy-0"),
        head: `GET /metrics HTTP/1.1\r\n${CHUNKED}`,
        piece: SMALL_CHUNK,
        answers: [STATUS_OK],
        status: /^HTTP\/1.1 200 /,
    },
    {
        port: "operator port",
        process: "control-0",
        addressOf: (fleet) => fleet.operatorAddresses[0] ?? "",
        head: `PATCH /config HTTP/1.1\r\n${CHUNKED}`,
        piece: SMALL_CHUNK,
        answers: [STATUS_OK],
        status: /^HTTP\/1.1 413 /,
    },
    {
        port: "port for callers by pipelined requests",
        process: "proxy-0",
        addressOf: (fleet) => fleet.addressesOf(0).outbound,
        head: "",
        piece: "GET /w100/s10/ HTTP/1.1\r\nHost: safe.example\r\nAttempt-Id: 1\r\n\r\n",
        // These requests take all slots of the endpoint, so that others are refused as not run.
        answers: [STATUS_OK, STATUS_UNAVAILABLE],
        status: undefined,
    },
];

/** What a sender got, and how long it could send. */
interface SendResult {
    readonly text: string;
    readonly sentMs: number;
}

/** Sends a head, and a piece again and again as fast as it is read, until the time is over or the connection ends. */
async function sendEndlessly(address: string, head: string, piece: string): Promise<SendResult> {
    const [host, port] = address.split(":");
    const socket = connect({ host, port: Number(port) });
    const startedAtMs = performance.now();
    let text = "";
    socket.on("error", () => undefined);
    socket.on("data", (data: Buffer) => text += text.length < REPEATS_PER_WRITE ? data.toString("latin1") : "");
    socket.write(head);
    const pieces = Buffer.from(piece.repeat(REPEATS_PER_WRITE));
    const isSending = (): boolean => socket.writable && performance.now() - startedAtMs < SENDING_MS;
    while (isSending()) {
        socket.write(pieces);
        while (isSending() && socket.writableNeedDrain) {
            await delay(1);
        }
    }
    socket.destroy();
    return { text, sentMs: Math.round(performance.now() - startedAtMs) };
}

function call(address: string, path: string, headers: Readonly<Record<string, string>>): Promise<number | undefined> {
    const [host, port] = address.split(":");
    return new Promise((resolve) => {
        const sent = get({ host, port, path, headers, agent: false, timeout: CALL_TIMEOUT_MS }, (response) => {
            response.resume();
            response.on("end", () => resolve(response.statusCode));
            response.on("error", () => resolve(undefined));
        });
        sent.on("timeout", () => sent.destroy());
        sent.on("error", () => resolve(undefined));
    });
}

function residentMegabytes(pid: number | undefined): number {
    try {
        return Number(/VmRSS:\s*(\d+)/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1] ?? 0) / KILOBYTES_PER_MEGABYTE;
    }
    catch {
        // The process has ended, which the faults of the fleet tell.
        return 0;
    }
}

for (const [index, { port, process, addressOf, head, piece, status, answers }] of cases.entries()) {
    // Guards against a process that runs out of memory while one client sends small pieces without end.
    test.serial(`a client that sends without end to the ${port} ends no process, and others are answered meanwhile`, async (t) => {
        const fleet = await startProcesses(`127.222.${index + 1}`, 1);
        const endpoint = await EndpointServer.create(0, fleet.serviceOf(0), fleet.addressesOf(0), [], () => performance.now());
        try {
            await delay(WARM_UP_MS);
            const sending = { isOver: false };
            const sender = sendEndlessly(addressOf(fleet), head, piece).finally(() => sending.isOver = true);
            const calls: Promise<number | undefined>[] = [];
            let maxMegabytes = 0;
            for (let number = 0; number * CALL_INTERVAL_MS < SENDING_MS; number += 1) {
                calls.push(call(fleet.addressesOf(0).outbound, "/w1/s10/", { "host": "safe.example", "attempt-id": `c-${number}` }));
                calls.push(call(fleet.operatorAddresses[0] ?? "", "/config", {}));
                maxMegabytes = Math.max(maxMegabytes, residentMegabytes(fleet.pidOf(process)));
                await delay(CALL_INTERVAL_MS);
            }
            const [{ text, sentMs }, statuses] = await Promise.all([sender, Promise.all(calls)]);
            const ends = fleet.faults.filter(({ kind }) => kind === FaultKind.OwnEnd);
            const unanswered = statuses.filter((answered) => !answers.includes(answered)).length;
            t.log(`${Math.round(maxMegabytes)} MB resident, ${unanswered} of ${statuses.length} calls not answered, sent for ${sentMs} ms`);
            if (unanswered > 0) {
                t.log(statuses.map((answered, number) => `${number % 2 === 0 ? "caller" : "operator"} ${answered}`).join(", "));
            }
            t.deepEqual(ends, []);
            t.true(maxMegabytes < MAX_RESIDENT_MB, `${maxMegabytes} MB`);
            t.is(unanswered, 0);
            if (status !== undefined) {
                t.regex(text, status);
                t.true(sentMs < SENDING_MS);
            }
        }
        finally {
            endpoint.close();
            await fleet.close(false);
        }
    });
}
