import { ServingRequest } from "../ServingRequest.js";

/**
 * Share of the longest wait up to which a request is admitted. The rest is left for those that overtake it later: without it, about twice
 * as many refused requests had waited for more than an eighth of their target.
 */
const ADMITTED_SHARE = 0.75;
/** Weight of the latest request in the moving average of a kind. */
const WEIGHT = 0.1;
/** Time for which the wait of a kind that sends nothing still bounds that of less urgent ones, in ms. */
const MEMORY_MS = 5_000;
/** Waits up to this are accepted for late requests, and say nothing about their kind, in ms. */
const MIN_USUAL_MS = 150;

/**
 * Expected waits up to which requests of organisations are admitted. No kind may wait for longer than a more urgent one usually may:
 * it would be admitted to a queue that is too long for the urgent one, and so be served more often.
 */
export class WaitBounds {
    private readonly usual = new Map<number, { waitMs: number; atMs: number }>();

    private constructor() {}

    /** Creates bounds without any experience. */
    static create(): WaitBounds {
        return new WaitBounds();
    }

    /** Records how long a request may wait. */
    record({ priority, maxQueueMs }: Pick<ServingRequest, "priority" | "maxQueueMs">, nowMs: number): void {
        if (maxQueueMs > MIN_USUAL_MS) {
            const usual = this.usual.get(priority) ?? { waitMs: maxQueueMs, atMs: nowMs };
            usual.waitMs += WEIGHT * (maxQueueMs - usual.waitMs);
            usual.atMs = nowMs;
            this.usual.set(priority, usual);
        }
    }

    /** Returns the longest expected wait with which a request is admitted, in ms. */
    boundMs({ priority, maxQueueMs }: Pick<ServingRequest, "priority" | "maxQueueMs">, nowMs: number): number {
        const moreUrgent = [...this.usual]
            .filter(([other, { atMs }]) => other < priority && nowMs - atMs < MEMORY_MS)
            .map(([, { waitMs }]) => waitMs);
        return Math.min(ADMITTED_SHARE * maxQueueMs, ...moreUrgent);
    }
}
