import { Grade } from "./Grade.js";

/** Load of a gate at a moment. */
export interface GateLoadReport {
    readonly vm: string;
    readonly running: number;
    readonly queued: number;
    readonly slots: number;
    /** Mean time that a request occupies a slot, or undefined before the first answer. */
    readonly serviceMs: number | undefined;
    readonly grade: Grade;
    /** Evidence against the endpoint, by which ejected endpoints are ordered; 0 if there is none. */
    readonly suspicion: number;
    /** True if the gate of an ejected endpoint wants a repeatable request to try it. */
    readonly wantsTrial: boolean;
}
