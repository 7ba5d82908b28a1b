import { AbuseRecord } from "../AbuseRecord.js";
import { describeAbuses } from "../describeAbuses/index.js";
import { ProcessFleet } from "../ProcessFleet/index.js";
import { readProcess } from "../readProcess/index.js";

const INTERVAL_MS = 200;
const BYTES_PER_MB = 1_000_000;
/** Resident memory at which the platform kills a process, in MB of a million bytes. */
const LIMITS_MB = { proxy: 350, control: 346 };
/** Part of the limit by which a process may stay above its start after an abuse, so that three more find room. */
const KEPT_SHARE = 1 / 4;
/** Share of a core that an idle process may use: half of the least share that the platform gives. */
const IDLE_SHARE = 0.25;

/** Processes that can be watched. */
type WatchedFleet = Pick<ProcessFleet, "proxyNames" | "controlNames" | "pidOf">;

interface Watched {
    pid: number;
    startMb: number;
    lowestMb: number;
    peakMb: number;
    processorMs: number;
}

/** Watches the memory and the processor time of the processes of a fleet. */
export class ProcessWatch {
    readonly violations: string[] = [];
    private readonly watched = new Map<string, Watched>();
    private readonly reportedPids = new Set<number>();
    private readonly timer: NodeJS.Timeout;
    private idleSinceMs = Number.POSITIVE_INFINITY;

    private constructor(
        private readonly fleet: WatchedFleet,
        private readonly abuses: readonly AbuseRecord[],
        private readonly nowMs: () => number,
    ) {
        this.timer = setInterval(() => this.sample(), INTERVAL_MS);
    }

    /**
     * Starts to watch.
     *
     * @param fleet - The processes.
     * @param abuses - Abuses by faulty peers, for descriptions.
     * @param nowMs - Clock of the soak.
     */
    static create(fleet: WatchedFleet, abuses: readonly AbuseRecord[], nowMs: () => number): ProcessWatch {
        return new ProcessWatch(fleet, abuses, nowMs);
    }

    /** Highest resident memory of each process over all of its starts, in MB. */
    get peaksMb(): Readonly<Record<string, number>> {
        return Object.fromEntries([...this.watched].map(([name, { peakMb }]) => [name, Math.round(peakMb)]));
    }

    /** Takes the memory that each process has now as that of its start. */
    recordStart(): void {
        this.recordCalm();
        this.watched.forEach((watched) => watched.startMb = watched.lowestMb);
    }

    /** Starts to look for the lowest memory of each process, after the last abuse. */
    recordCalm(): void {
        this.watched.forEach((watched) => watched.lowestMb = Number.POSITIVE_INFINITY);
        this.sample();
    }

    /** Starts to measure the processor time of each process, after the last request. */
    recordIdle(): void {
        this.sample();
        this.idleSinceMs = this.nowMs();
        this.watched.forEach((watched) => watched.processorMs = readProcess(watched.pid)?.processorMs ?? 0);
    }

    /** Judges what is left of memory and processor time, and stops to watch. */
    finish(): void {
        this.sample();
        this.close();
        const idleMs = this.nowMs() - this.idleSinceMs;
        this.watched.forEach(({ pid, startMb, lowestMb, processorMs }, name) => {
            const boundMb = startMb + limitMb(name) * KEPT_SHARE;
            if (lowestMb > boundMb) {
                this.violations.push(`MEMORY-KEPT ${name}: ${lowestMb.toFixed(0)} MB after the abuse, ${startMb.toFixed(0)} MB before`);
            }
            const usedMs = (readProcess(pid)?.processorMs ?? processorMs) - processorMs;
            if (usedMs > idleMs * IDLE_SHARE) {
                this.violations.push(`SPIN ${name} used ${usedMs} of ${idleMs.toFixed(0)} ms of processor time without any request`);
            }
        });
    }

    /** Stops to watch. */
    close(): void {
        clearInterval(this.timer);
    }

    private sample(): void {
        [...this.fleet.controlNames, ...this.fleet.proxyNames].forEach((name) => {
            const pid = this.fleet.pidOf(name);
            const reading = pid === undefined ? undefined : readProcess(pid);
            if (pid === undefined || reading === undefined) {
                return;
            }
            const residentMb = reading.residentBytes / BYTES_PER_MB;
            const peakMb = reading.peakResidentBytes / BYTES_PER_MB;
            const watched = this.watched.get(name) ?? { pid, startMb: residentMb, lowestMb: residentMb, peakMb, processorMs: 0 };
            watched.lowestMb = watched.pid === pid ? Math.min(watched.lowestMb, residentMb) : residentMb;
            watched.pid = pid;
            watched.peakMb = Math.max(watched.peakMb, peakMb);
            this.watched.set(name, watched);
            if (peakMb > limitMb(name) && !this.reportedPids.has(pid)) {
                this.reportedPids.add(pid);
                const atMs = Math.round(this.nowMs());
                const causes = describeAbuses(name, atMs, this.abuses);
                this.violations.push(`MEMORY ${name}: ${peakMb.toFixed(0)} MB at ${atMs} ms, limit ${limitMb(name)} MB${causes}`);
            }
        });
    }
}

function limitMb(name: string): number {
    return name.startsWith("control") ? LIMITS_MB.control : LIMITS_MB.proxy;
}
