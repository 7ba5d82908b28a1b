import { ClaimedAttempt } from "./ClaimedAttempt.js";

/** What a witness holds under an idempotency key. */
export interface Claim {
    /** Request that holds the key. */
    readonly claimant: string;
    /** Digest of the request: another one under the same key is a misuse of the key. */
    readonly digest: string;
    /** Attempts that the claimant may have sent. */
    readonly attempts: readonly ClaimedAttempt[];
}
