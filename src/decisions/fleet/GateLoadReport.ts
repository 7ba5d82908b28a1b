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
    /** True if the gate of an ejected endpoint wants a repeatable request to try it. */
    readonly wantsTrial: boolean;
}
