/** Budget while nothing shows that the endpoint can hold less, in bytes; 8 slots with bodies of 8 MB fit into it. */
const MAX_BUDGET_BYTES = 64 * 1_024 * 1_024;
/** Time within which lost requests count as one crash, in ms; an endpoint takes about as long to start again. */
const SAME_CRASH_MS = 3_000;
/** Time after a crash for which the budget stays, and in which it then doubles, in ms: a crash costs all requests at the endpoint. */
const GROWTH_PERIOD_MS = 60_000;

/**
 * Limits the bytes of request bodies at one endpoint at the same time. One request is always admitted, and so is one without
 * a body. If the endpoint crashes while it holds more than it has held before without harm, the budget falls to half of
 * that, but not below the largest body seen and what it has held without harm; after a minute it grows again. A crash at a
 * usual amount has other causes and changes nothing, unless it repeats.
 *
 * Designed for uploads of 60 kB on average and 360 kB at most to endpoints whose memory is not known.
 */
export class BodyBytesLimit {
    private held = 0;
    private largestBytes = 0;
    /** Most bytes held while a request was answered. */
    private survivedBytes = 0;
    private baseBytes = MAX_BUDGET_BYTES;
    private crashedAtMs = Number.NEGATIVE_INFINITY;

    private constructor() {}

    /** Creates a limit with the whole budget. */
    static create(): BodyBytesLimit {
        return new BodyBytesLimit();
    }

    /** Bytes of bodies that are held. */
    get heldBytes(): number {
        return this.held;
    }

    /** Returns how many bytes may be held. */
    budgetBytes(nowMs: number): number {
        const periods = Math.max(0, (nowMs - this.crashedAtMs) / GROWTH_PERIOD_MS - 1);
        return Math.min(MAX_BUDGET_BYTES, Math.floor(this.baseBytes * 2 ** Math.min(periods, Math.log2(MAX_BUDGET_BYTES))));
    }

    /** Returns whether a request with a body of a length may be sent. */
    admits(lengthBytes: number, nowMs: number): boolean {
        return lengthBytes === 0 || this.held === 0 || this.held + lengthBytes <= this.budgetBytes(nowMs);
    }

    /** Records a request that was admitted. */
    recordStart(lengthBytes: number): void {
        this.held += lengthBytes;
        this.largestBytes = Math.max(this.largestBytes, lengthBytes);
    }

    /**
     * Records the end of a request.
     *
     * @param lengthBytes - Length of its body.
     * @param isAnswered - Whether the endpoint has answered it, and so could hold what it held.
     */
    recordEnd(lengthBytes: number, isAnswered: boolean): void {
        if (isAnswered) {
            this.survivedBytes = Math.max(this.survivedBytes, this.held);
        }
        this.held = Math.max(0, this.held - lengthBytes);
    }

    /**
     * Records that the endpoint has crashed.
     *
     * @param heldBytes - Bytes of bodies that it held.
     * @param nowMs - Current time.
     * @returns True if the budget fell.
     */
    recordCrash(heldBytes: number, nowMs: number): boolean {
        if (nowMs - this.crashedAtMs < SAME_CRASH_MS || heldBytes === 0) {
            return false;
        }
        const budgetBytes = this.budgetBytes(nowMs);
        this.crashedAtMs = nowMs;
        if (heldBytes <= this.survivedBytes) {
            this.survivedBytes = Math.floor(heldBytes / 2);
            this.baseBytes = budgetBytes;
            return false;
        }
        this.baseBytes = Math.min(budgetBytes, Math.max(this.largestBytes, this.survivedBytes, Math.ceil(heldBytes / 2)));
        return this.baseBytes < budgetBytes;
    }
}
