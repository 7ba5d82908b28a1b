/* eslint-disable @typescript-eslint/explicit-function-return-type */
import { writeFileSync, appendFileSync } from "node:fs";

/** Writes the record of a run, one JSON object a line, with the time since the start. */
export class Recorder {
    #path;
    #startedAtMs = Date.now();

    constructor(path) {
        this.#path = path;
        writeFileSync(path, "");
    }

    static create(path) {
        return new Recorder(path);
    }

    /** Milliseconds since the start of the run. */
    get elapsedMs() {
        return Date.now() - this.#startedAtMs;
    }

    record(event, fields = {}) {
        appendFileSync(this.#path, `${JSON.stringify({ atMs: this.elapsedMs, event, ...fields })}\n`);
    }
}
