import { readFileSync } from "node:fs";
import { request } from "node:http";
import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { EndpointServer } from "../bench/processes/EndpointServer/index.js";
import { FaultKind } from "../bench/processes/FaultKind.js";
import { ProcessFleet } from "../bench/processes/ProcessFleet/index.js";
import { startProcesses } from "./fixtures/startProcesses.js";

const PROXY_COUNT = 3;
/** Proxy beside the endpoint whose responses do not end. */
const FAULTY_VM = 0;
/** Time for which endless responses are asked for, in ms. */
const RUN_MS = 12_000;
/** Requests at a time that get an endless response. */
const ENDLESS_COUNT = 6;
const DEADLINE_MS = 9_000;
/** Time after its deadline by which a request has surely been ended, in ms. */
const DEADLINE_MARGIN_MS = 1_000;
const OTHER_DEADLINE_MS = 3_000;
/** Time between two requests of other callers, in ms. */
const OTHER_INTERVAL_MS = 50;
/** Minimum size of what is written to a connection at a time, in bytes. */
const BLOCK_BYTES = 65_536;
/**
 * Bound on the resident memory of a proxy, in bytes: 60 MB of program and stacks, 132 MB of heap, 48 MB of buffered responses and
 * 16 MB of a copy when the largest one is complete. The platform allows 350 MB.
 */
const MAX_RESIDENT_BYTES = (60 + 132 + 48 + 16) * 1_024 * 1_024;
const STATUS_OK = 200;
const TIMEOUT_MS = 120_000;
const CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

/** What an endpoint sends after the id of its response, and then without end. */
type EndlessForm = readonly [start: string, piece: string];

const ENDLESS_FORMS: Record<string, readonly EndlessForm[]> = {
    "chunks of one byte": [[CHUNKED, "1\r\nz\r\n"]],
    "other pieces": [
        ["\r\n", "x"],
        ["Content-Length: 1000000000000\r\n\r\n", "x"],
        [`${CHUNKED}1;`, "x"],
        [`${CHUNKED}${(15_000_000).toString(16)}\r\n${"x".repeat(15_000_000)}\r\n1;`, "x"],
        [`${CHUNKED}0\r\n`, "a:\r\n"],
        ["", "a:\r\n"],
        ["", " b\r\n"],
        ["X: ", "x"],
        ["Content-Length: 1\r\n\r\nx", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"],
        ["\r\n", "1\r\n"],
    ],
};

/** Sends a request and returns the status of its complete answer, or undefined if there is none. */
function send(address: string, path: string, id: string, deadlineMs: number): Promise<number | undefined> {
    const [host, port] = address.split(":");
    const headers = { "Host": "safe.example", "Attempt-Id": id, "Deadline-Ms": String(deadlineMs) };
    return new Promise((resolve) => {
        const sent = request({ host, port, path, headers, agent: false }, (response) => {
            response.resume();
            response.on("end", () => resolve(response.complete ? response.statusCode : undefined));
            response.on("error", () => resolve(undefined));
        });
        sent.on("error", () => resolve(undefined));
        sent.end();
    });
}

/** Writes a response whose pieces do not end, as fast as they are read. */
function writeEndlessly(socket: Socket, id: string, [start, piece]: EndlessForm): void {
    const block = Buffer.from(piece.repeat(Math.ceil(BLOCK_BYTES / piece.length)));
    const write = (): void => {
        while (!socket.destroyed && socket.write(block)) { /* until the send buffer is full */ }
    };
    socket.on("drain", write);
    socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Signature: s\r\n${start}`);
    write();
}

/** Largest resident memory of a process since its start, in bytes. */
function peakResidentBytes(pid: number | undefined): number {
    return Number(/VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1]) * 1_024;
}

async function readGauge(address: string, name: string): Promise<number> {
    const text = await (await fetch(`http://${address}/metrics`)).text();
    return Number(new RegExp(`^gypsumpulley_${name} (\\S+)$`, "m").exec(text)?.[1]);
}

async function startEndpoints(fleet: ProcessFleet, misbehave: (socket: Socket, path: string, id: string) => boolean): Promise<EndpointServer[]> {
    const start = (_value: unknown, vm: number): Promise<EndpointServer> =>
        EndpointServer.create(vm, fleet.serviceOf(vm), fleet.addressesOf(vm), [], () => performance.now(), vm === FAULTY_VM ? misbehave : undefined);
    return Promise.all(Array.from({ length: fleet.proxyCount }, start));
}

for (const [description, forms] of Object.entries(ENDLESS_FORMS)) {
    test.serial(`a proxy whose endpoint answers with ${description} without end stays up, within its memory, and answers other callers`, async (t) => {
        t.timeout(TIMEOUT_MS);
        const fleet = await startProcesses("127.221.1", PROXY_COUNT);
        let endlessCount = 0;
        const endpoints = await startEndpoints(fleet, (socket, path, id) => {
            if (path.startsWith("/endless/")) {
                const form = forms[endlessCount % forms.length];
                endlessCount += 1;
                if (form !== undefined) {
                    writeEndlessly(socket, id, form);
                }
            }
            return path.startsWith("/endless/");
        });
        try {
            const { outbound } = fleet.addressesOf(FAULTY_VM);
            const endAtMs = performance.now() + RUN_MS;
            const pid = fleet.pidOf(`proxy-${FAULTY_VM}`);
            const statuses: (number | undefined)[] = [];
            const askEndlessly = async (_value: unknown, caller: number): Promise<void> => {
                for (let number = 0; performance.now() < endAtMs; number += 1) {
                    await send(outbound, "/endless/", `endless-${caller}-${number}`, DEADLINE_MS);
                    await delay(OTHER_INTERVAL_MS);
                }
            };
            const askOtherwise = async (): Promise<void> => {
                const sent: Promise<void>[] = [];
                for (let number = 0; performance.now() < endAtMs; number += 1) {
                    sent.push(send(outbound, "/w5/s100/", `other-${number}`, OTHER_DEADLINE_MS).then((status) => void statuses.push(status)));
                    await delay(OTHER_INTERVAL_MS);
                }
                await Promise.all(sent);
            };
            await Promise.all([askOtherwise(), ...Array.from({ length: ENDLESS_COUNT }, askEndlessly)]);
            const unanswered = statuses.filter((status) => status === undefined).length;
            const served = statuses.filter((status) => status === STATUS_OK).length;
            t.log(`${endlessCount} endless responses; of ${statuses.length} other requests ${served} served, ${unanswered} without an answer`);
            t.deepEqual(fleet.faults.filter(({ kind }) => kind === FaultKind.OwnEnd), []);
            const peakBytes = peakResidentBytes(pid);
            t.log(`at most ${Math.round(peakBytes / 1_048_576)} MB resident`);
            t.true(peakBytes < MAX_RESIDENT_BYTES, `${peakBytes} bytes`);
            await delay(DEADLINE_MARGIN_MS);
            t.is(await readGauge(fleet.metricsAddressOf(`proxy-${FAULTY_VM}`), "response_buffer_bytes"), 0);
            t.is(unanswered, 0);
            t.true(served > 0.9 * statuses.length, `${served} of ${statuses.length} served`);
            t.true(endlessCount > ENDLESS_COUNT);
        }
        finally {
            endpoints.forEach((endpoint) => endpoint.close());
            await fleet.close(false);
        }
    });
}
