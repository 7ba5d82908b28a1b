import { createConsola, type ConsolaInstance, LogLevels, type LogObject } from "consola";
import { EventNumber } from "../EventNumber.js";
import { LogFields } from "../LogFields.js";
import { LogFormat } from "../LogFormat.js";

const RING_EVENTS = 1_000;
const FIRST_REQUEST_EVENT = 500;

/** Writes numbered events and keeps the latest ones for `gypsumpulley explain`. */
export class EventLog {
    private readonly ring: LogFields[] = [];

    private constructor(
        private readonly vm: string,
        private readonly consola: ConsolaInstance | undefined,
        private readonly write: ((line: string) => void) | undefined,
        private readonly observe: ((event: EventNumber, fields: LogFields) => void) | undefined,
    ) {}

    /**
     * Creates a log.
     *
     * @param vm - VM name, part of every event.
     * @param format - Format of the lines, or undefined to keep the events in memory only.
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
     * Creates a log that writes every event, those of single requests included.
     *
     * @param vm - VM name, part of every event.
     * @param write - Takes each line.
     * @param observe - Counts each event.
     */
    static createWith(vm: string, write: (line: string) => void, observe: (event: EventNumber, fields: LogFields) => void): EventLog {
        return new EventLog(vm, undefined, write, observe);
    }

    /** Records an event; unless the log writes every event, those of single requests are kept in memory only. */
    record(event: EventNumber, fields: LogFields): void {
        const line = { atMs: Date.now(), event, name: EventNumber[event], vm: this.vm, ...fields };
        this.ring.push(line);
        if (this.ring.length > RING_EVENTS) {
            this.ring.shift();
        }
        this.write?.(JSON.stringify(line));
        this.observe?.(event, fields);
        if ((event as number) < FIRST_REQUEST_EVENT) {
            this.consola?.info(JSON.stringify(line));
        }
    }

    /** Returns the latest events, oldest first, that have the text in one of their fields. */
    find(text: string): readonly LogFields[] {
        return this.ring.filter((fields) => Object.values(fields).some((value) => String(value).includes(text)));
    }
}
