import { LatestLimit } from "../LatestLimit/index.js";
import { StatedLimitKind } from "../StatedLimitKind.js";
import { StatedLimit } from "../StatedLimit.js";
import { TokenBucket } from "../TokenBucket/index.js";

/** Lowest rate to which an endpoint is limited, in requests per second: its next response tells whether the limit still holds. */
const MIN_PER_SECOND = 0.5;
/** Burst that an endpoint may get after it had fewer requests than its limit allows, in seconds of the limit. */
const BURST_S = 1;
const MS_PER_SECOND = 1_000;

/**
 * Limits the requests to an endpoint to the rate that it names in its responses. A limit starts with an empty bucket,
 * because the endpoint may just have had more than it accepts.
 */
export class EndpointLimiter {
    private readonly latest = LatestLimit.create();
    private bucket: TokenBucket | undefined;
    private hasResponse = false;

    private constructor() {}

    /** Creates a limiter for an endpoint that has named no limit. */
    static create(): EndpointLimiter {
        return new EndpointLimiter();
    }

    /** Returns the largest number of requests that a limit allows within a duration, in ms. */
    static maxRequests(perSecond: number, durationMs: number): number {
        const rate = Math.max(MIN_PER_SECOND, perSecond);
        return Math.floor(rate * durationMs / MS_PER_SECOND + burstOf(rate));
    }

    /** Requests per second that the endpoint accepts, or undefined if it has named no limit. */
    get perSecond(): number | undefined {
        return this.latest.perSecond;
    }

    /**
     * Applies what a response says about the limit.
     *
     * @param limit - Limit that the response names.
     * @param sentAtMs - Time at which its request was sent to the endpoint.
     * @param nowMs - Current time.
     * @returns True if the limit has changed.
     */
    applyResponse(limit: StatedLimit, sentAtMs: number, nowMs: number): boolean {
        this.hasResponse ||= limit.kind !== StatedLimitKind.Unreadable;
        const hasChanged = this.latest.apply(limit, sentAtMs);
        if (hasChanged) {
            this.setRate(this.latest.perSecond, nowMs);
        }
        return hasChanged;
    }

    /**
     * Adopts a limit that an entry has been told, until the first response shows what holds now.
     *
     * @param perSecond - The limit.
     * @param nowMs - Current time.
     * @returns True if the limit has changed.
     */
    adopt(perSecond: number, nowMs: number): boolean {
        if (this.hasResponse || perSecond >= (this.perSecond ?? Number.POSITIVE_INFINITY)) {
            return false;
        }
        this.latest.apply({ kind: StatedLimitKind.Rate, perSecond }, Number.NEGATIVE_INFINITY);
        this.setRate(perSecond, nowMs);
        return true;
    }

    /** Returns the time until a request may be sent if others go before it, in ms; 0 without a limit. */
    waitMs(requestsAhead: number, nowMs: number): number {
        return this.bucket?.waitMs(requestsAhead + 1, nowMs) ?? 0;
    }

    /** Counts a request that is sent to the endpoint, or for which sending is reserved. */
    recordSend(nowMs: number): void {
        this.bucket?.takeAhead(nowMs);
    }

    /** Takes back the count of a request that was not sent after all. */
    withdrawSend(): void {
        this.bucket?.giveBack();
    }

    /** Returns how many requests run at the same time at the limited rate (Little 1961); infinite without a limit. */
    maxConcurrent(serviceMs: number): number {
        const { perSecond } = this;
        return perSecond === undefined ? Number.POSITIVE_INFINITY : Math.max(1, Math.ceil(perSecond * serviceMs / MS_PER_SECOND));
    }

    private setRate(perSecond: number | undefined, nowMs: number): void {
        if (perSecond === undefined) {
            this.bucket = undefined;
            return;
        }
        const rate = Math.max(MIN_PER_SECOND, perSecond);
        if (this.bucket === undefined) {
            this.bucket = TokenBucket.createEmpty(rate, burstOf(rate), nowMs);
        }
        else {
            this.bucket.setRate(rate, burstOf(rate), nowMs);
        }
    }
}

function burstOf(perSecond: number): number {
    return Math.max(1, perSecond * BURST_S);
}
