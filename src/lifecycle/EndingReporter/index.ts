import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { MemoryUsage } from "../../memory/MemoryUsage.js";
import { GaugeSource } from "../../metrics/GaugeSource.js";
import { toError } from "../../model/toError/index.js";
import { EndReason } from "../EndReason.js";

/** Writes the last line of a process, and lines about its memory: what it held, by its gauges. */
export class EndingReporter {
    private gauges: readonly GaugeSource[] = [];
    private hasReported = false;

    private constructor(private readonly events: EventLog, private readonly readUsage: () => MemoryUsage) {}

    /**
     * Creates a reporter without gauges.
     *
     * @param events - Event log.
     * @param readUsage - Reads the memory of the process.
     */
    static create(events: EventLog, readUsage: () => MemoryUsage): EndingReporter {
        return new EndingReporter(events, readUsage);
    }

    /** Sets the gauges of the role, once it has started. */
    setGauges(gauges: readonly GaugeSource[]): void {
        this.gauges = gauges;
    }

    /** Records that the memory of the process is high. */
    recordHighMemory(usage: MemoryUsage): void {
        this.events.record(EventNumber.MemoryHigh, { ...usage, holders: this.holders });
    }

    /** Records that the process ends. Only the first reason counts. */
    recordEnding(reason: EndReason, problem?: string): void {
        if (!this.hasReported) {
            this.hasReported = true;
            this.events.record(EventNumber.ProcessEnding, { reason, problem, ...this.readUsage(), holders: this.holders });
        }
    }

    private get holders(): readonly string[] {
        return this.gauges.map(({ name, read }) => `${name}=${readOrUnknown(read)}`);
    }
}

/** Reads a gauge. After an uncaught error a gauge may throw as well; the last line is written all the same. */
function readOrUnknown(read: () => number): number | string {
    try {
        return read();
    }
    catch (thrown) {
        return `(${toError(thrown).message})`;
    }
}
