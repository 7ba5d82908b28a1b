import { RetryBudgetTerms } from "../RetryBudgetTerms.js";

/** Parts into which the window is divided for counting. */
const BUCKETS = 20;
/** Part of the allowance that is used: what a gate has counted is lost when it restarts, and the number of gates changes. */
const USED_SHARE = 0.7;

interface Bucket {
    readonly index: number;
    requests: number;
    repeats: number;
}

/**
 * One gate's part of a service's retry budget: in any window, the repeats that reach the service are at most a ratio of
 * its requests plus a slack. The ratio is taken of the requests that this gate was given; the slack is divided by the
 * gates of the service. Calls made by repeated work count as repeats where they arrive, as far as that is likely.
 *
 * Answers for a service whose endpoints fail up to half of their work, with far more entries than gates: an entry sees
 * too few requests to have a budget of its own.
 */
export class FleetRetryBudget {
    private buckets: Bucket[] = [];

    private constructor(private readonly terms: RetryBudgetTerms) {}

    /**
     * Creates a budget from which nothing has been used.
     *
     * @param terms - Window, ratio and slack for the whole service.
     */
    static create(terms: RetryBudgetTerms): FleetRetryBudget {
        return new FleetRetryBudget(terms);
    }

    /**
     * Counts a request that reaches the endpoint for the first time.
     *
     * @param callOfRepeatShare - Likelihood that it is a call made by repeated work, from 0 to 1.
     * @param nowMs - Current time.
     */
    countRequest(callOfRepeatShare: number, nowMs: number): void {
        const bucket = this.bucket(nowMs);
        bucket.requests += 1;
        bucket.repeats += callOfRepeatShare;
    }

    /**
     * Tells whether the budget has room for a repeat.
     *
     * @param gates - Gates that share the budget.
     * @param nowMs - Current time.
     */
    allowsRepeat(gates: number, nowMs: number): boolean {
        this.bucket(nowMs);
        const requests = this.buckets.reduce((sum, { requests: count }) => sum + count, 0);
        const repeats = this.buckets.reduce((sum, { repeats: count }) => sum + count, 0);
        return repeats + 1 <= USED_SHARE * (this.terms.ratio * requests + this.terms.slack / Math.max(1, gates));
    }

    /** Takes a repeat out of the budget. */
    countRepeat(nowMs: number): void {
        this.bucket(nowMs).repeats += 1;
    }

    private bucket(nowMs: number): Bucket {
        const index = Math.floor(nowMs / (this.terms.windowMs / BUCKETS));
        this.buckets = this.buckets.filter((bucket) => bucket.index > index - BUCKETS);
        const last = this.buckets.at(-1);
        if (last?.index === index) {
            return last;
        }
        const created = { index, requests: 0, repeats: 0 };
        this.buckets.push(created);
        return created;
    }
}
