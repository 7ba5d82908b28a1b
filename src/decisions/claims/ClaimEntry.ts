import { Claim } from "./Claim.js";

/** A claim as one witness gives it to another. */
export interface ClaimEntry {
    readonly key: string;
    readonly claim: Claim;
    /** Time until it expires, in ms. */
    readonly remainingMs: number;
}
