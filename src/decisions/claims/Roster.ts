import { RosterWitness } from "./RosterWitness.js";

/** The witnesses of the fleet, part of the accepted configuration. */
export interface Roster {
    /** Raised with each change. */
    readonly epoch: number;
    readonly witnesses: readonly RosterWitness[];
    /** Witnesses before the last change, whose majority is needed too until claims made with them have expired. */
    readonly previous: readonly RosterWitness[];
    /** Wall clock time at which `previous` was set, in ms. */
    readonly changedAtMs: number;
}
