import { attemptKey } from "../attemptKey/index.js";
import { GateAttempt } from "../GateAttempt.js";

/** Fair queue: round robin over customers (Nagle 1987), first in, first out for each customer. */
export class FairQueue {
    private readonly byCustomer = new Map<string, GateAttempt[]>();
    private count = 0;

    private constructor() {}

    /** Creates an empty queue. */
    static create(): FairQueue {
        return new FairQueue();
    }

    /** Number of waiting attempts. */
    get size(): number {
        return this.count;
    }

    /** Number of waiting attempts of one customer. */
    sizeOf(customer: string): number {
        return this.byCustomer.get(customer)?.length ?? 0;
    }

    /** Appends an attempt. */
    push(attempt: GateAttempt): void {
        const waiting = this.byCustomer.get(attempt.customer) ?? [];
        waiting.push(attempt);
        this.byCustomer.set(attempt.customer, waiting);
        this.count += 1;
    }

    /** Removes and returns the next attempt of the customer whose turn it is. */
    shift(): GateAttempt | undefined {
        const next = this.byCustomer.entries().next();
        if (next.done === true) {
            return undefined;
        }
        const [customer, waiting] = next.value;
        this.byCustomer.delete(customer);
        const attempt = waiting.shift();
        if (waiting.length > 0) {
            this.byCustomer.set(customer, waiting);
        }
        this.count -= 1;
        return attempt;
    }

    /** Removes and returns the newest attempt of the customer with the longest queue (longest queue drop, Suter et al. 1998). */
    popFromLongest(): GateAttempt | undefined {
        const longest = [...this.byCustomer.values()].reduce<GateAttempt[] | undefined>(
            (best, waiting) => best === undefined || waiting.length > best.length ? waiting : best,
            undefined,
        );
        const newest = longest?.at(-1);
        if (newest !== undefined) {
            this.remove(newest);
        }
        return newest;
    }

    /** Length of the longest queue of any customer. */
    get longestLength(): number {
        return Math.max(0, ...[...this.byCustomer.values()].map((waiting) => waiting.length));
    }

    /** Removes one attempt. */
    remove(attempt: GateAttempt): void {
        const waiting = this.byCustomer.get(attempt.customer) ?? [];
        const remaining = waiting.filter((other) => attemptKey(other.id) !== attemptKey(attempt.id));
        this.count -= waiting.length - remaining.length;
        if (remaining.length === 0) {
            this.byCustomer.delete(attempt.customer);
        }
        else {
            this.byCustomer.set(attempt.customer, remaining);
        }
    }

    /** Removes and returns all attempts that satisfy a condition. */
    removeWhere(condition: (attempt: GateAttempt) => boolean): readonly GateAttempt[] {
        const removed = [...this.byCustomer.values()].flat().filter(condition);
        removed.forEach((attempt) => this.remove(attempt));
        return removed;
    }
}
