const MS_PER_SECOND = 1_000;
/** Tolerance for rounding errors of refills. */
const EPSILON = 1e-6;

/** Token bucket (Turner 1986): limits a rate and allows bursts above it. */
export class TokenBucket {
    private constructor(private perSecond: number, private burst: number, private tokens: number, private refilledAtMs: number) {}

    /**
     * Creates a full bucket.
     *
     * @param perSecond - Number of tokens added per second.
     * @param burst - Capacity of the bucket.
     * @param nowMs - Current time.
     */
    static create(perSecond: number, burst: number, nowMs: number): TokenBucket {
        return new TokenBucket(perSecond, burst, burst, nowMs);
    }

    /**
     * Creates an empty bucket, for a rate that may have been used up before.
     *
     * @param perSecond - Number of tokens added per second.
     * @param burst - Capacity of the bucket.
     * @param nowMs - Current time.
     */
    static createEmpty(perSecond: number, burst: number, nowMs: number): TokenBucket {
        return new TokenBucket(perSecond, burst, 0, nowMs);
    }

    /**
     * Takes one token.
     *
     * @returns 0 if a token was available, else the time in ms until one will be.
     */
    take(nowMs: number): number {
        const waitMs = this.waitMs(1, nowMs);
        if (waitMs === 0) {
            this.tokens -= 1;
        }
        return waitMs;
    }

    /**
     * Takes as many whole tokens as are available, up to a number.
     *
     * @returns The number of tokens taken.
     */
    takeUpTo(count: number, nowMs: number): number {
        this.refill(nowMs);
        const taken = Math.min(count, Math.floor(this.tokens + EPSILON));
        this.tokens -= taken;
        return taken;
    }

    /** Takes one token even if none is available; later ones are then available later. */
    takeAhead(nowMs: number): void {
        this.refill(nowMs);
        this.tokens -= 1;
    }

    /** Returns a token that was taken and not used. */
    giveBack(): void {
        this.tokens = Math.min(this.burst, this.tokens + 1);
    }

    /** Returns the time until a number of tokens has been added, in ms; 0 if they are available. */
    waitMs(count: number, nowMs: number): number {
        this.refill(nowMs);
        return Math.max(0, Math.ceil((count - this.tokens - EPSILON) / this.perSecond * MS_PER_SECOND));
    }

    /** Changes the rate and the capacity; the bucket keeps its tokens. */
    setRate(perSecond: number, burst: number, nowMs: number): void {
        this.refill(nowMs);
        this.perSecond = perSecond;
        this.burst = burst;
        this.tokens = Math.min(burst, this.tokens);
    }

    private refill(nowMs: number): void {
        const elapsedMs = Math.max(0, nowMs - this.refilledAtMs);
        this.tokens = Math.min(this.burst, this.tokens + elapsedMs * this.perSecond / MS_PER_SECOND);
        this.refilledAtMs = nowMs;
    }
}
