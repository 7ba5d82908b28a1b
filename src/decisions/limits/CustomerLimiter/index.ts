import { TokenBucket } from "../TokenBucket/index.js";

/** Maximum number of buckets, which bounds the memory. */
const MAX_BUCKETS = 8_192;

/** Limits the request rate of each customer. Memory is bounded: the least recently used bucket is evicted first. */
export class CustomerLimiter {
    private readonly buckets = new Map<string, TokenBucket>();

    private constructor() {}

    /** Creates a limiter without any buckets. */
    static create(): CustomerLimiter {
        return new CustomerLimiter();
    }

    /**
     * Counts one request of a customer against its rate limit.
     *
     * @param customer - Name of the customer.
     * @param perSecond - Allowed requests per second; used when the bucket of the customer is created.
     * @param burst - Allowed burst; used when the bucket of the customer is created.
     * @param nowMs - Current time.
     * @returns 0 if the request is allowed, else the time in ms until the next one is allowed.
     */
    take(customer: string, perSecond: number, burst: number, nowMs: number): number {
        const bucket = this.buckets.get(customer) ?? TokenBucket.create(perSecond, burst, nowMs);
        this.buckets.delete(customer);
        this.buckets.set(customer, bucket);
        this.evictOldest();
        return bucket.take(nowMs);
    }

    /** Number of buckets in memory. */
    get size(): number {
        return this.buckets.size;
    }

    private evictOldest(): void {
        if (this.buckets.size <= MAX_BUCKETS) {
            return;
        }
        const oldest = this.buckets.keys().next();
        if (oldest.done !== true) {
            this.buckets.delete(oldest.value);
        }
    }
}
