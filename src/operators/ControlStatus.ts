import { VoterReplacement } from "../decisions/quorum/VoterReplacement.js";

/** State of the quorum, as known to one control VM. */
export interface ControlStatus {
    /** Identity of the VM that reports this status. */
    readonly identity: string;
    /** Identity of the leader; empty if none is known. */
    readonly leader: string;
    readonly term: number;
    readonly voters: readonly string[];
    /** Live control VMs that do not vote. */
    readonly others: readonly string[];
    /** Voters that may be lost now with a majority left; undefined unless this VM leads. */
    readonly toleratedLosses?: number | undefined;
    /** Voters that do not reply; undefined unless this VM leads. */
    readonly replacements?: readonly VoterReplacement[] | undefined;
}
