import { RetryBudgetTerms } from "../RetryBudgetTerms.js";

/** Parts into which the window is divided for counting. */
const BUCKETS = 20;
/** Part of the allowance that is used: the calls of repeated work are repeats at the services called, and need the rest. */
const USED_SHARE = 0.5;

interface Bucket {
    index: number;
    requests: number;
    repeats: number;
}

/**
 * This node's part of a budget that all nodes share: in any window, the repeats for a service are at most a ratio of its
 * requests plus a slack. The ratio is taken of the node's own requests; the slack is divided by the nodes.
 */
export class FleetRetryBudget {
    private readonly buckets = new Map<string, Bucket[]>();

    private constructor(private readonly terms: RetryBudgetTerms) {}

    /**
     * Creates a budget from which nothing has been used.
     *
     * @param terms - Window, ratio and slack for the whole fleet.
     */
    static create(terms: RetryBudgetTerms): FleetRetryBudget {
        return new FleetRetryBudget(terms);
    }

    /** Counts a request for a service. */
    countRequest(service: string, nowMs: number): void {
        this.bucket(service, nowMs).requests += 1;
    }

    /**
     * Takes a repeat out of the budget.
     *
     * @param service - Service that the repeat goes to.
     * @param nodes - Nodes that share the budget.
     * @param nowMs - Current time.
     * @returns False if the budget does not allow it.
     */
    withdraw(service: string, nodes: number, nowMs: number): boolean {
        const bucket = this.bucket(service, nowMs);
        const counted = this.buckets.get(service) ?? [];
        const requests = counted.reduce((sum, { requests: count }) => sum + count, 0);
        const repeats = counted.reduce((sum, { repeats: count }) => sum + count, 0);
        const allowed = USED_SHARE * (this.terms.ratio * requests + this.terms.slack / Math.max(1, nodes));
        if (repeats + 1 > allowed) {
            return false;
        }
        bucket.repeats += 1;
        return true;
    }

    private bucket(service: string, nowMs: number): Bucket {
        const index = Math.floor(nowMs / (this.terms.windowMs / BUCKETS));
        const recent = (this.buckets.get(service) ?? []).filter((bucket) => bucket.index > index - BUCKETS);
        const last = recent.at(-1);
        if (last?.index === index) {
            this.buckets.set(service, recent);
            return last;
        }
        const created = { index, requests: 0, repeats: 0 };
        this.buckets.set(service, [...recent, created]);
        return created;
    }
}
