import { ClaimedAttempt } from "./ClaimedAttempt.js";

/** A claim on an idempotency key, as a witness stores it. */
export interface Claim {
    /** Identity of the request that holds the key. */
    readonly claimant: string;
    /** Digest of the request. A request with another digest under the same key is a misuse of the key. */
    readonly digest: string;
    /** Attempts that the claimant may have sent to a gate. */
    readonly attempts: readonly ClaimedAttempt[];
}
