import { nowMs } from "../../clock/nowMs/index.js";
import { EventLog } from "../EventLog/index.js";
import { EventNumber } from "../EventNumber.js";
import { LogFields } from "../LogFields.js";

/** Minimum time between two lines of one event, in ms. */
const LINE_INTERVAL_MS = 1_000;

interface Line {
    loggedAtMs: number;
    /** Occurrences since the last line that were not logged. */
    omitted: number;
}

/** Logs events that may occur often, with a bounded number of lines. */
export class ThrottledLog {
    private readonly lines = new Map<EventNumber, Line>();

    private constructor(private readonly events: EventLog) {}

    /**
     * Creates a log.
     *
     * @param events - Event log that receives the lines.
     */
    static create(events: EventLog): ThrottledLog {
        return new ThrottledLog(events);
    }

    /**
     * Records an event. The first one of its number is logged at once, later ones at most every second; the field `omitted` counts
     * those in between.
     *
     * @param event - Number of the event.
     * @param fields - Fields of the line.
     */
    record(event: EventNumber, fields: LogFields): void {
        const line = this.lines.get(event) ?? { loggedAtMs: Number.NEGATIVE_INFINITY, omitted: 0 };
        this.lines.set(event, line);
        const atMs = nowMs();
        if (atMs - line.loggedAtMs < LINE_INTERVAL_MS) {
            line.omitted += 1;
            return;
        }
        this.events.record(event, line.omitted === 0 ? fields : { ...fields, omitted: line.omitted });
        line.loggedAtMs = atMs;
        line.omitted = 0;
    }
}
