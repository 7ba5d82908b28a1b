import { createConsola, type ConsolaInstance, LogLevels, type LogObject } from "consola";
import { EventNumber } from "../EventNumber.js";
import { LogFields } from "../LogFields.js";
import { LogFormat } from "../LogFormat.js";

/** Number of events kept in memory for `gypsumpulley explain`. */
const MAX_RECENT_EVENTS = 1_000;
/** Lowest number of the events that concern single requests. */
const FIRST_REQUEST_EVENT = 500;

/** Log of numbered events that also keeps the most recent ones in memory for `gypsumpulley explain`. */
export class EventLog {
    private readonly recentEvents: LogFields[] = [];

    private constructor(
        private readonly vm: string,
        private readonly consola: ConsolaInstance | undefined,
        private readonly writeLine: ((line: string) => void) | undefined,
        private readonly onEvent: ((event: EventNumber, fields: LogFields) => void) | undefined,
    ) {}

    /**
     * Creates a log.
     *
     * @param vm - VM name, added to every event.
     * @param format - Format of the lines, or undefined to only keep the events in memory.
     */
    static create(vm: string, format: LogFormat | undefined): EventLog {
        if (format === undefined) {
            return new EventLog(vm, undefined, undefined, undefined);
        }
        const reporters = [{ log: (entry: LogObject) => void process.stdout.write(`${String(entry.args[0])}\n`) }];
        const options = { level: LogLevels.info };
        return new EventLog(vm, createConsola(format === LogFormat.Json ? { ...options, reporters } : options), undefined, undefined);
    }

    /**
     * Creates a log that writes every event, including those of single requests.
     *
     * @param vm - VM name, added to every event.
     * @param writeLine - Writes a line.
     * @param onEvent - Called with each event.
     */
    static createUnfiltered(vm: string, writeLine: (line: string) => void, onEvent: (event: EventNumber, fields: LogFields) => void): EventLog {
        return new EventLog(vm, undefined, writeLine, onEvent);
    }

    /** Records an event. Events of single requests are only kept in memory, unless the log writes every event. */
    record(event: EventNumber, fields: LogFields): void {
        const eventFields = { atMs: Date.now(), event, name: EventNumber[event], vm: this.vm, ...fields };
        this.recentEvents.push(eventFields);
        if (this.recentEvents.length > MAX_RECENT_EVENTS) {
            this.recentEvents.shift();
        }
        this.writeLine?.(JSON.stringify(eventFields));
        this.onEvent?.(event, fields);
        if ((event as number) < FIRST_REQUEST_EVENT) {
            this.consola?.info(JSON.stringify(eventFields));
        }
    }

    /**
     * Records an unexpected error that ended one request, connection or message, while the process continues.
     *
     * @param error - The error.
     * @param fields - What it ended.
     */
    recordError(error: Error, fields: LogFields): void {
        this.record(EventNumber.UnexpectedError, { ...fields, problem: error.message, stack: error.stack, isLast: false });
    }

    /** Returns the recent events that contain the text in one of their fields, oldest first. */
    find(text: string): readonly LogFields[] {
        return this.recentEvents.filter((fields) => Object.values(fields).some((value) => String(value).includes(text)));
    }
}
