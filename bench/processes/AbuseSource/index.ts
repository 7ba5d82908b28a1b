import { once, setMaxListeners } from "node:events";
import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { deriveToken } from "../../../src/http/deriveToken/index.js";
import { RequestKind } from "../../../src/model/RequestKind.js";
import { AbuseKind } from "../AbuseKind.js";
import { AbuseRecord } from "../AbuseRecord.js";
import { createAnswerStreams } from "../createAnswerStreams/index.js";
import { createFrameStreams } from "../createFrameStreams/index.js";
import { createRequestStreams } from "../createRequestStreams/index.js";
import { EndlessStream } from "../EndlessStream.js";
import { fleetKey } from "../fleetKey.js";
import { openLink } from "../openLink/index.js";
import { ProcessFleet } from "../ProcessFleet/index.js";
import { sendEndlessly } from "../sendEndlessly/index.js";
import { Tempo } from "../Tempo.js";

/** Maximum number of abuses at a time. */
const MAX_ABUSES = 3;
const MAX_GAP_MS = 1_200;
const MIN_DURATION_MS = 2_000;
const MAX_DURATION_MS = 9_000;
/** Time after which an endpoint gives up an answer that nobody ends, in ms; longer than the deadline of any request. */
const ANSWER_TIMEOUT_MS = 15_000;
const CONNECT_TIMEOUT_MS = 1_000;
/** Maximum number of connections of an abuse, by what they send. */
const MAX_CONNECTIONS = { [Tempo.Full]: 2, [Tempo.Steady]: 6, [Tempo.Trickle]: 40, silent: 200 };
/** Maximum number of requests for an endless answer at a time. */
const MAX_ANSWERS = 8;
const ANSWER_PATH = /^\/x(\d+)-(\d+)-/;
const OFFER_COUNT = 200;
/** Name of the stream of proper requests. */
const PIPELINED = "pipelined requests";
const UPGRADE = "GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"
    + "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n";
const TEMPOS = Object.values(Tempo);
const ANSWERS = createAnswerStreams();
const TUNNEL_FRAMES = createFrameStreams([
    [{ kind: "p" }],
    [{ kind: "g", key: "k" }],
    [{ kind: "u", key: "k", gateRun: "r" }],
    Array.from({ length: OFFER_COUNT }, (_value, index) => createOffer(`odd-${index}`)),
]);
const LINK_FRAMES = createFrameStreams([
    [{ message: { kind: "z" } }],
    [{ message: { kind: "read-items" }, call: 1 }],
    [{ message: { kind: "control-peers", peers: [] } }],
]);

/** What a faulty peer does on one connection. */
interface Abuse {
    readonly process: string;
    readonly address: string;
    readonly stream: EndlessStream;
    readonly tempo: Tempo;
    /** Maximum number of connections, if it differs from that of the tempo. */
    readonly maxConnections?: number;
    /** Key with which the peer opens a link before it sends, if it does. */
    readonly linkKey?: string;
}

/** Faulty endpoints, callers and processes of the fleet, which send small or endless pieces. */
export class AbuseSource {
    readonly records: AbuseRecord[] = [];
    private readonly tasks = new Set<Promise<void>>();
    /** Number of abuses so far. */
    count = 0;
    private nextId = 0;

    private constructor(
        private readonly fleet: ProcessFleet,
        private readonly random: () => number,
        private readonly kinds: readonly AbuseKind[],
        private readonly nowMs: () => number,
    ) {}

    /**
     * Creates peers that send nothing yet.
     *
     * @param fleet - The processes.
     * @param random - Source of random numbers from 0 to 1.
     * @param kinds - Kinds of faulty peers.
     * @param nowMs - Clock of the soak.
     */
    static create(fleet: ProcessFleet, random: () => number, kinds: readonly AbuseKind[], nowMs: () => number): AbuseSource {
        return new AbuseSource(fleet, random, kinds.filter((kind) => kind !== AbuseKind.Starts), nowMs);
    }

    /** Abuses the processes for a time, in series and overlapping, and resolves when all abuses have ended. */
    async run(durationMs: number): Promise<void> {
        const isOver = AbortSignal.timeout(durationMs);
        while (!isOver.aborted && this.kinds.length > 0) {
            await delay(this.between(0, MAX_GAP_MS));
            if (this.tasks.size < MAX_ABUSES) {
                const task = this.abuse();
                this.tasks.add(task);
                void task.then(() => this.tasks.delete(task));
            }
        }
        await Promise.all(this.tasks);
    }

    /** Takes a response on itself if its request asks for an endless one. */
    answer(vm: number, socket: Socket, path: string): boolean {
        const asked = ANSWER_PATH.exec(path);
        const stream = ANSWERS[Number(asked?.[1])];
        const tempo = TEMPOS[Number(asked?.[2])];
        if (stream === undefined || tempo === undefined) {
            return false;
        }
        const record = this.record(`proxy-${vm}`, `answer of ${stream.name} at ${tempo}`);
        void sendEndlessly(socket, stream, tempo, AbortSignal.timeout(ANSWER_TIMEOUT_MS)).then(() => {
            record.endedAtMs = this.nowMs();
            socket.destroy();
        });
        return true;
    }

    /** Records an abuse that starts now. */
    record(process: string, description: string, isLoad = false): AbuseRecord {
        const record: AbuseRecord = { process, description, startedAtMs: this.nowMs(), endedAtMs: Number.POSITIVE_INFINITY, isLoad };
        this.records.push(record);
        this.fleet.note(process, description);
        this.count += 1;
        return record;
    }

    private async abuse(): Promise<void> {
        const abuse = this.choose();
        const { process, stream, tempo } = abuse;
        const maxConnections = abuse.maxConnections ?? (stream.piece.length === 0 ? MAX_CONNECTIONS.silent : MAX_CONNECTIONS[tempo]);
        const isReading = this.random() < 0.5;
        const count = this.between(1, maxConnections);
        const signal = AbortSignal.timeout(this.between(MIN_DURATION_MS, MAX_DURATION_MS));
        setMaxListeners(count, signal);
        const description = `${count} times ${stream.name} at ${tempo} to ${abuse.address}, ${isReading ? "reading" : "not reading"}`;
        const isLoad = stream.name === PIPELINED && abuse.address === this.fleet.listenAddressesOf(process).outbound;
        const record = this.record(process, description, isLoad);
        await Promise.all(Array.from({ length: count }, () => this.abuseOnce(abuse, isReading, signal)));
        record.endedAtMs = this.nowMs();
    }

    private async abuseOnce({ address, stream, tempo, linkKey }: Abuse, isReading: boolean, signal: AbortSignal): Promise<void> {
        const [host, port] = address.split(":");
        const socket = connect({ host, port: Number(port), noDelay: true });
        socket.on("error", () => undefined);
        if (isReading) {
            socket.resume();
        }
        try {
            if (linkKey === undefined) {
                await once(socket, "connect", { signal: AbortSignal.timeout(CONNECT_TIMEOUT_MS) });
            }
            else {
                await openLink(socket, address, `odd-${this.nextId += 1}`, linkKey);
            }
            await sendEndlessly(socket, stream, tempo, signal);
        }
        catch {
            // A process that is stopped or has ended refuses connections.
        }
        finally {
            socket.destroy();
        }
    }

    private choose(): Abuse {
        const tempo = this.random() < 0.3 ? Tempo.Full : this.pick(TEMPOS);
        const vm = this.between(0, this.fleet.proxyCount - 1);
        const proxy = `proxy-${vm}`;
        const control = this.pick(this.fleet.controlNames);
        const toControl = this.random() < 0.4;
        const process = toControl ? control : proxy;
        const { ready = "", tunnel = "", link, control: own, metrics } = this.fleet.listenAddressesOf(process);
        switch (this.pick(this.kinds)) {
            case AbuseKind.Answers: {
                const form = this.between(0, ANSWERS.length - 1);
                this.nextId += 1;
                const fields = `Host: ${this.pick(["safe", "unsafe"])}.example\r\nAttempt-Id: x-${this.nextId}\r\nDeadline-Ms: 9000\r\n`;
                const request = `GET /x${form}-${TEMPOS.indexOf(tempo)}-${this.nextId}/ HTTP/1.1\r\n${fields}\r\n`;
                const stream = { name: `a request for ${ANSWERS[form]?.name}`, prefix: Buffer.from(request), piece: Buffer.alloc(0) };
                return { process: proxy, address: this.fleet.addressesOf(vm).outbound, stream, tempo, maxConnections: MAX_ANSWERS };
            }
            case AbuseKind.Callers: {
                const fields = `Host: ${this.pick(["safe", "unsafe", "download", "no"])}.example\r\nAttempt-Id: x-${this.nextId += 1}\r\nDeadline-Ms: 6000\r\n`;
                const call = this.pick(["POST /w20/s10/", "GET /w20/s10/", "GET /w200/s1000000/"]);
                return { process: proxy, address: this.fleet.addressesOf(vm).outbound, stream: this.pick(createRequestStreams(call, fields)), tempo };
            }
            case AbuseKind.Ports: {
                const fields = "Host: a\r\nContent-Type: application/json\r\n";
                const calls: readonly (readonly [string, string])[] = toControl
                    ? [[own, "PATCH /config"], [own, "GET /config"], [metrics, "GET /metrics"]]
                    : [[own, "PUT /instances/i-9"], [ready, "GET /readiness"], [metrics, "GET /metrics"]];
                const [address, call] = this.pick(calls);
                return { process, address, stream: this.pick(createRequestStreams(call, fields)), tempo };
            }
            case AbuseKind.Strangers: {
                const upgraded = TUNNEL_FRAMES.map((frames) => ({ ...frames, prefix: Buffer.concat([Buffer.from(`${UPGRADE}\r\n`), frames.prefix]) }));
                const stream = this.pick([...createRequestStreams("GET /", UPGRADE), ...upgraded]);
                return { process, address: toControl ? link : this.pick([link, tunnel]), stream, tempo };
            }
            case AbuseKind.Members: {
                if (toControl || this.random() < 0.3) {
                    return { process, address: link, stream: this.pick(LINK_FRAMES), tempo, linkKey: fleetKey };
                }
                const frames = this.pick(TUNNEL_FRAMES);
                const head = Buffer.from(`${UPGRADE}Authorization: ${deriveToken(fleetKey)}\r\n\r\n`);
                return { process, address: tunnel, stream: { ...frames, prefix: Buffer.concat([head, frames.prefix]) }, tempo };
            }
            case AbuseKind.Starts:
                throw new Error("starts are obstructed where processes are started");
        }
    }

    private pick<T>(values: readonly T[]): T {
        return values[Math.floor(this.random() * values.length)] as T;
    }

    private between(low: number, high: number): number {
        return low + Math.floor(this.random() * (high - low + 1));
    }
}

/** Creates an offer that waits for a confirmation, which never comes. */
function createOffer(key: string): object {
    const who = { key, requestId: key, service: "alpha", callerService: "alpha", endpointId: "", requestKind: RequestKind.Repeatable, priority: 1 };
    const what = { method: "GET", path: "/w20/s0/", headers: [], body: Buffer.alloc(0), hasBody: false };
    const times = { remainingMs: 2_000, targetRemainingMs: 2_000, usualMs: 20, maxQueueMs: 0 };
    const flags = { isTrial: false, needsGo: true, isLastResort: false, isRepeat: false, callOfRepeatShare: 0 };
    return { kind: "o", offer: { ...who, ...what, ...times, ...flags } };
}
