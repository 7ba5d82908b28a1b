import { RosterWitness } from "./RosterWitness.js";

/** The witnesses of the fleet; part of the accepted configuration. */
export interface Roster {
    /** Incremented with each change. */
    readonly epoch: number;
    readonly witnesses: readonly RosterWitness[];
    /** Witnesses before the last change. Their majority is also required until claims made with them have expired. */
    readonly previous: readonly RosterWitness[];
    /** Wall-clock time at which `previous` last changed, in ms. */
    readonly changedAtMs: number;
}
