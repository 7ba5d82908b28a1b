import { RetryBudgetLimits } from "../RetryBudgetLimits.js";

/** Number of buckets into which the sliding window is divided. */
const BUCKET_COUNT = 20;
/** Share of the budget that gates spend: a restarted gate loses its counts, and the number of gates changes. */
const SAFETY_FACTOR = 0.7;

interface Bucket {
    readonly index: number;
    requests: number;
    repeats: number;
}

/**
 * One gate's part of a service's retry budget. It decides whether a gate may run a repeat (a retry or a hedge): in any
 * window, the repeats that reach the service are limited to a ratio of its requests plus a slack. The ratio applies to
 * the requests that this gate receives; the slack is divided by the number of gates of the service. A call made by
 * repeated work counts as a repeat at the gate that it reaches, weighted by its likelihood.
 *
 * The budget is kept at the gates for a service whose endpoints fail up to half of their work and that has far more
 * entries than gates: an entry sees too few requests to keep a budget of its own.
 */
export class FleetRetryBudget {
    private buckets: Bucket[] = [];

    private constructor(private readonly limits: RetryBudgetLimits) {}

    /**
     * Creates an unused budget.
     *
     * @param limits - Window, ratio and slack of the whole service.
     */
    static create(limits: RetryBudgetLimits): FleetRetryBudget {
        return new FleetRetryBudget(limits);
    }

    /**
     * Counts a request that reaches the endpoint for the first time.
     *
     * @param callOfRepeatShare - Likelihood that it is a call made by repeated work, 0 to 1.
     * @param nowMs - Current time, in ms.
     */
    countRequest(callOfRepeatShare: number, nowMs: number): void {
        const bucket = this.currentBucket(nowMs);
        bucket.requests += 1;
        bucket.repeats += callOfRepeatShare;
    }

    /**
     * Tells whether the budget has room for a repeat.
     *
     * @param gateCount - Number of gates that share the budget.
     * @param nowMs - Current time, in ms.
     */
    canRepeat(gateCount: number, nowMs: number): boolean {
        this.currentBucket(nowMs);
        const requests = this.buckets.reduce((sum, { requests: count }) => sum + count, 0);
        const repeats = this.buckets.reduce((sum, { repeats: count }) => sum + count, 0);
        return repeats + 1 <= SAFETY_FACTOR * (this.limits.ratio * requests + this.limits.slack / Math.max(1, gateCount));
    }

    /** Charges one repeat to the budget. */
    countRepeat(nowMs: number): void {
        this.currentBucket(nowMs).repeats += 1;
    }

    private currentBucket(nowMs: number): Bucket {
        const index = Math.floor(nowMs / (this.limits.windowMs / BUCKET_COUNT));
        this.buckets = this.buckets.filter((bucket) => bucket.index > index - BUCKET_COUNT);
        const last = this.buckets.at(-1);
        if (last?.index === index) {
            return last;
        }
        const created = { index, requests: 0, repeats: 0 };
        this.buckets.push(created);
        return created;
    }
}
