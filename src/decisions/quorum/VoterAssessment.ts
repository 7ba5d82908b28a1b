import { VoterState } from "./VoterState.js";

/** State of the voters as their leader sees it. */
export interface VoterAssessment {
    readonly voters: readonly { readonly identity: string; readonly state: VoterState }[];
    /** Identities without a vote that reply, those that have caught up with the log first. */
    readonly spares: readonly { readonly identity: string; readonly hasCaughtUp: boolean }[];
    /** Number of voters that may be lost in addition while the others are still a majority. */
    readonly toleratedLosses: number;
}
