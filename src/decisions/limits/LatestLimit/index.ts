import { StatedLimit } from "../StatedLimit.js";
import { StatedLimitKind } from "../StatedLimitKind.js";

/**
 * The limit that an endpoint has named most recently. Responses overtake each other, so a limit ends only with a response to
 * a later request than that whose response named it.
 */
export class LatestLimit {
    private ratePerSecond: number | undefined;
    /** Time at which the latest request was sent whose response named the limit. */
    private namedForRequestAtMs = Number.NEGATIVE_INFINITY;

    private constructor() {}

    /** Creates the state of an endpoint that has named no limit. */
    static create(): LatestLimit {
        return new LatestLimit();
    }

    /** Requests per second, or undefined without a limit. */
    get perSecond(): number | undefined {
        return this.ratePerSecond;
    }

    /**
     * Applies what a response says about the limit. An unreadable value changes nothing.
     *
     * @param limit - Limit that the response names.
     * @param sentAtMs - Time at which its request was sent.
     * @returns True if the limit has changed.
     */
    apply(limit: StatedLimit, sentAtMs: number): boolean {
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
