import { get } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { AttemptRecord } from "../AttemptRecord.js";
import { CallerConnection } from "../CallerConnection/index.js";
import { ProcessFleet } from "../ProcessFleet/index.js";
import { RefusalRecord } from "../RefusalRecord.js";
import { RouteKind } from "../RouteKind.js";
import { SOAK_ORGANISATIONS } from "../soakOrganisations.js";
import { UNKNOWN_KEY } from "../unknownKey.js";

const DEADLINE_MS = 6_000;
const READINESS_INTERVAL_MS = 1_000;
/** Questions without a 200 after which callers open no connection to a proxy. */
const MAX_MISSES = 2;
const RETRY_DELAY_MS = 100;
const MAX_LATENCY_MS = 20;
const STATUS_OK = 200;
const UNLIMITED = Number.POSITIVE_INFINITY;
/** Share of the requests of callers above their limit that carry an unknown key. */
const UNKNOWN_KEY_SHARE = 0.1;

/** Kinds of callers. Each keeps a connection and sends one request, or one group of pipelined ones, after the other. */
enum Caller {
    Pipelining,
    Ordering,
    SlowReading,
    Uploading,
    /** Sends with the key of an organisation above its limit, and sometimes with an unknown one. */
    Exceeding,
}

/** Callers on all VMs. They keep using open connections until these are closed, and open new ones to proxies that are ready. */
export class TrafficSource {
    /** Requests that were sent; whoever has judged those that have ended may remove them. */
    readonly attempts: AttemptRecord[] = [];
    /** Connections that callers wanted and did not get. */
    readonly refusals: RefusalRecord[] = [];
    private count = 0;
    private readonly misses = new Map<number, number>();
    private isStopped = false;

    private constructor(
        private readonly fleet: ProcessFleet,
        private readonly random: () => number,
        private readonly nowMs: () => number,
        private readonly hasOrganisations: boolean,
    ) {}

    /**
     * Creates callers that send nothing yet.
     *
     * @param fleet - The proxies.
     * @param random - Source of random numbers from 0 to 1.
     * @param nowMs - Clock of the soak.
     * @param hasOrganisations - True if callers need keys of organisations.
     */
    static create(fleet: ProcessFleet, random: () => number, nowMs: () => number, hasOrganisations = false): TrafficSource {
        return new TrafficSource(fleet, random, nowMs, hasOrganisations);
    }

    /** Sends requests until `stop` is called, and resolves when all have ended. */
    async run(): Promise<void> {
        const timer = setInterval(() => this.askReadiness(), READINESS_INTERVAL_MS);
        const vms = Array.from({ length: this.fleet.proxyCount }, (_value, vm) => vm);
        const callers = [Caller.Pipelining, Caller.Pipelining, Caller.Ordering, Caller.Ordering, Caller.SlowReading, Caller.Uploading];
        const exceeding = this.hasOrganisations ? [Caller.Exceeding] : [];
        await Promise.all(vms.flatMap((vm) => [...callers, ...exceeding].map((caller) => this.runCaller(vm, caller))));
        clearInterval(timer);
    }

    /** Returns whether a proxy answered the last question whether it is ready. */
    isReady(vm: number): boolean {
        return this.misses.get(vm) === 0;
    }

    /** Lets requests in progress end and sends no more. */
    stop(): void {
        this.isStopped = true;
    }

    private async runCaller(vm: number, caller: Caller): Promise<void> {
        let connection: CallerConnection | undefined;
        while (!this.isStopped) {
            if (connection?.isOpen !== true) {
                connection = await this.open(vm, caller);
            }
            if (connection === undefined) {
                this.refusals.push({ vm, atMs: this.nowMs() });
                await delay(RETRY_DELAY_MS);
                continue;
            }
            await this.sendGroup(connection, vm, caller);
            await delay(caller === Caller.Exceeding ? this.between(100, 300) : this.between(5, 150));
        }
        connection?.close();
    }

    private async open(vm: number, caller: Caller): Promise<CallerConnection | undefined> {
        if ((this.misses.get(vm) ?? 0) >= MAX_MISSES) {
            return undefined;
        }
        const readBytesPerMs = caller === Caller.SlowReading ? this.between(300, 3_000) : UNLIMITED;
        const latencyMs = this.between(0, MAX_LATENCY_MS);
        return CallerConnection.create(this.fleet.addressesOf(vm).outbound, { readBytesPerMs, latencyMs }, this.nowMs);
    }

    private async sendGroup(connection: CallerConnection, vm: number, caller: Caller): Promise<void> {
        switch (caller) {
            case Caller.Pipelining: {
                const sendOne = (): Promise<void> => this.send(connection, vm, RouteKind.Safe, this.between(10, 300), this.between(0, 20_000), 0);
                await Promise.all(Array.from({ length: this.between(1, 3) }, sendOne));
                return;
            }
            case Caller.Ordering:
                return this.send(connection, vm, RouteKind.Unsafe, this.between(50, 900), this.between(0, 2_000), this.between(1, 500));
            case Caller.SlowReading:
                return this.send(connection, vm, RouteKind.Download, this.between(20, 200), this.between(100_000, 8_000_000), 0);
            case Caller.Uploading:
                return this.send(connection, vm, RouteKind.Unsafe, this.between(20, 400), 100, this.between(50_000, 600_000));
            case Caller.Exceeding: {
                const apiKey = this.random() < UNKNOWN_KEY_SHARE ? UNKNOWN_KEY : SOAK_ORGANISATIONS.exceeding.apiKey;
                return this.send(connection, vm, RouteKind.Safe, 10, 100, 0, apiKey);
            }
        }
    }

    private send(
        connection: CallerConnection,
        vm: number,
        kind: RouteKind,
        workMs: number,
        bytes: number,
        bodyBytes: number,
        apiKey = this.hasOrganisations && kind !== RouteKind.Download ? SOAK_ORGANISATIONS.unlimited.apiKey : undefined,
    ): Promise<void> {
        const record: AttemptRecord = {
            id: `a-${vm}-${this.count}`,
            vm,
            kind,
            path: `/w${workMs}/s${bytes}/`,
            apiKey,
            deadlineMs: DEADLINE_MS,
            sentAtMs: Number.POSITIVE_INFINITY,
            isBehindAnother: connection.outstandingCount > 0,
            end: undefined,
            endedAtMs: 0,
            status: undefined,
            isGenuine: false,
        };
        this.attempts.push(record);
        this.count += 1;
        return connection.send(record, bytes, bodyBytes);
    }

    private askReadiness(): void {
        for (let vm = 0; vm < this.fleet.proxyCount; vm += 1) {
            const count = (isMiss: boolean): unknown => this.misses.set(vm, isMiss ? (this.misses.get(vm) ?? 0) + 1 : 0);
            const url = `http://${this.fleet.addressesOf(vm).ready}/readiness`;
            const question = get(url, { agent: false, timeout: READINESS_INTERVAL_MS }, (response) => {
                response.resume();
                count(response.statusCode !== STATUS_OK);
            });
            question.on("timeout", () => question.destroy());
            question.on("error", () => count(true));
        }
    }

    private between(low: number, high: number): number {
        return low + Math.floor(this.random() * (high - low + 1));
    }
}
