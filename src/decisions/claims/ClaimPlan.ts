import { RosterWitness } from "./RosterWitness.js";

/** What a claim machine knows of its request from the start. */
export interface ClaimPlan {
    readonly key: string;
    readonly digest: string;
    /** Identity of the request. */
    readonly claimant: string;
    readonly epoch: number;
    /** Sets of witnesses; a majority of each is needed. */
    readonly witnessSets: readonly (readonly RosterWitness[])[];
    readonly deadlineAtMs: number;
}
