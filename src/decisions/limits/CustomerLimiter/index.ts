import { TokenBucket } from "../TokenBucket/index.js";

const MAX_BUCKETS = 8_192;

/** Limits the request rate of each customer, in bounded memory: the bucket used longest ago is forgotten first. */
export class CustomerLimiter {
    private readonly buckets = new Map<string, TokenBucket>();

    private constructor() {}

    /** Creates a limiter that holds no buckets yet. */
    static create(): CustomerLimiter {
        return new CustomerLimiter();
    }

    /**
     * Takes one request of a customer.
     *
     * @param customer - Name of the customer.
     * @param perSecond - Rate allowed.
     * @param burst - Burst allowed.
     * @param nowMs - Current time.
     * @returns 0 if the request is allowed, else the time in ms until the next one is.
     */
    take(customer: string, perSecond: number, burst: number, nowMs: number): number {
        const bucket = this.buckets.get(customer) ?? TokenBucket.create(perSecond, burst, nowMs);
        this.buckets.delete(customer);
        this.buckets.set(customer, bucket);
        this.evict();
        return bucket.take(nowMs);
    }

    /** Number of buckets held. */
    get size(): number {
        return this.buckets.size;
    }

    private evict(): void {
        if (this.buckets.size <= MAX_BUCKETS) {
            return;
        }
        const oldest = this.buckets.keys().next();
        if (oldest.done !== true) {
            this.buckets.delete(oldest.value);
        }
    }
}
