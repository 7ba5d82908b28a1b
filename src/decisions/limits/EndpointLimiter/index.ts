import { StatedLimit } from "../StatedLimit.js";
import { StatedLimitKind } from "../StatedLimitKind.js";

/** Tracks the rate of requests that an endpoint accepts, as it states it in its responses. */
export class EndpointLimiter {
    private ratePerSecond: number | undefined;
    /** Time at which the latest request was sent whose response named the limit. */
    private namedForRequestAtMs = Number.NEGATIVE_INFINITY;

    private constructor() {}

    /** Creates a limiter for an endpoint that has named no limit. */
    static create(): EndpointLimiter {
        return new EndpointLimiter();
    }

    /** Requests per second that the endpoint accepts, or undefined if it has named no limit. */
    get perSecond(): number | undefined {
        return this.ratePerSecond;
    }

    /**
     * Applies what a response says about the limit. Only a response to a later request than that which named the limit ends
     * it, because responses overtake each other; an unreadable value changes nothing.
     *
     * @param limit - Limit that the response names.
     * @param sentAtMs - Time at which the request was sent to the endpoint.
     * @returns True if the limit has changed.
     */
    applyResponse(limit: StatedLimit, sentAtMs: number): boolean {
        const previous = this.ratePerSecond;
        switch (limit.kind) {
            case StatedLimitKind.Unreadable:
                return false;
            case StatedLimitKind.None:
                if (sentAtMs > this.namedForRequestAtMs) {
                    this.ratePerSecond = undefined;
                }
                break;
            case StatedLimitKind.Rate:
                if (previous === undefined || sentAtMs >= this.namedForRequestAtMs) {
                    this.ratePerSecond = limit.perSecond;
                    this.namedForRequestAtMs = Math.max(sentAtMs, this.namedForRequestAtMs);
                }
                break;
        }
        return this.ratePerSecond !== previous;
    }
}
