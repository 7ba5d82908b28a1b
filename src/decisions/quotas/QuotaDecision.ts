import { QuotaDecisionKind } from "./QuotaDecisionKind.js";

/** Whether a request is within the quota of its organisation. */
export type QuotaDecision =
    /** `expiresAtMs` is the time until which another request may use the token if this one does not run. */
    | { readonly kind: QuotaDecisionKind.Granted; readonly expiresAtMs: number }
    | { readonly kind: QuotaDecisionKind.Refused; readonly retryAfterMs: number };
