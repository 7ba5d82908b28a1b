import { RosterWitness } from "./RosterWitness.js";

/** Parameters of a claim on an idempotency key. */
export interface ClaimParameters {
    readonly key: string;
    readonly digest: string;
    /** Identity of the claiming request. */
    readonly claimant: string;
    readonly epoch: number;
    /** Sets of witnesses; the claim needs a majority of each set. */
    readonly witnessSets: readonly (readonly RosterWitness[])[];
    readonly deadlineAtMs: number;
}
