import { QuotaBounds } from "../QuotaBounds.js";

const MS_PER_SECOND = 1_000;

/**
 * Tokens of an organisation that a proxy grants without contact with a control VM. Each period holds one token, which can be
 * used for a part of the period; so an outage, however long, and however often it recurs, saves up no tokens. The phase is random
 * and kept for the life of the process, so that an outage starts with a token only at some of the proxies.
 */
export class LocalQuota {
    /** Start of the last period whose token was used, in ms. */
    private usedPeriodAtMs = Number.NEGATIVE_INFINITY;

    private constructor(private readonly phase: number) {}

    /**
     * Creates a quota.
     *
     * @param random - Source of numbers from 0 up to, but not including, 1.
     */
    static create(random: () => number): LocalQuota {
        return new LocalQuota(random());
    }

    /**
     * Takes the token of the current period.
     *
     * @param bounds - Limits for all proxies together.
     * @param proxyCount - Number of proxies known.
     * @param nowMs - Current time.
     * @returns 0 if it was there, else the time until the next one, in ms.
     */
    take({ localPerSecond, localHoldMs }: QuotaBounds, proxyCount: number, nowMs: number): number {
        const periodMs = proxyCount / localPerSecond * MS_PER_SECOND;
        if (!Number.isFinite(periodMs)) {
            return Number.POSITIVE_INFINITY;
        }
        const startAtMs = (Math.floor(nowMs / periodMs - this.phase) + this.phase) * periodMs;
        const isHeld = nowMs < startAtMs + localHoldMs;
        // A change of the limit or of the number of proxies moves the periods; half of one is kept between two tokens.
        if (isHeld && startAtMs >= this.usedPeriodAtMs + periodMs / 2) {
            this.usedPeriodAtMs = startAtMs;
            return 0;
        }
        return Math.ceil(startAtMs + periodMs - nowMs);
    }
}
