import { Claim } from "./Claim.js";

/** A claim as one witness copies it to another. */
export interface ClaimEntry {
    readonly key: string;
    readonly claim: Claim;
    /** Time until the claim expires, in ms. */
    readonly remainingMs: number;
}
