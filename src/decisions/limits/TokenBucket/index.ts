/** Token bucket (Turner 1986): limits a rate and allows bursts above it. */
export class TokenBucket {
    private tokens: number;

    private constructor(private readonly perSecond: number, private readonly burst: number, private refilledAtMs: number) {
        this.tokens = burst;
    }

    /**
     * Creates a full bucket.
     *
     * @param perSecond - Number of tokens added per second.
     * @param burst - Capacity of the bucket.
     * @param nowMs - Current time.
     */
    static create(perSecond: number, burst: number, nowMs: number): TokenBucket {
        return new TokenBucket(perSecond, burst, nowMs);
    }

    /**
     * Takes one token.
     *
     * @returns 0 if a token was available, else the time in ms until one will be.
     */
    take(nowMs: number): number {
        this.refill(nowMs);
        if (this.tokens >= 1) {
            this.tokens -= 1;
            return 0;
        }
        return Math.ceil((1 - this.tokens) / this.perSecond * 1_000);
    }

    private refill(nowMs: number): void {
        const elapsedMs = Math.max(0, nowMs - this.refilledAtMs);
        this.tokens = Math.min(this.burst, this.tokens + elapsedMs * this.perSecond / 1_000);
        this.refilledAtMs = nowMs;
    }
}
