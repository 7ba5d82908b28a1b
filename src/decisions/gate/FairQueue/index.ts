import { attemptKey } from "../attemptKey/index.js";
import { GateAttempt } from "../GateAttempt.js";

/** Queue that serves customers in turn (round robin, Nagle 1987) and attempts of one customer in order of arrival. */
export class FairQueue {
    private readonly byCustomer = new Map<string, GateAttempt[]>();
    private count = 0;

    private constructor() {}

    /** Creates an empty queue. */
    static create(): FairQueue {
        return new FairQueue();
    }

    /** Number of attempts waiting. */
    get size(): number {
        return this.count;
    }

    /** Number of attempts of one customer waiting. */
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

    /** Takes the next attempt of the customer whose turn it is. */
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

    /** Takes out the newest attempt of the customer with the longest line (longest queue drop, Suter et al. 1998). */
    popLongest(): GateAttempt | undefined {
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

    /** Length of the longest line of one customer. */
    get longest(): number {
        return Math.max(0, ...[...this.byCustomer.values()].map((waiting) => waiting.length));
    }

    /** Takes out one attempt. */
    remove(attempt: GateAttempt): void {
        const waiting = this.byCustomer.get(attempt.customer) ?? [];
        const left = waiting.filter((other) => attemptKey(other.id) !== attemptKey(attempt.id));
        this.count -= waiting.length - left.length;
        if (left.length === 0) {
            this.byCustomer.delete(attempt.customer);
        }
        else {
            this.byCustomer.set(attempt.customer, left);
        }
    }

    /** Takes out and returns all attempts that satisfy the condition. */
    removeWhere(condition: (attempt: GateAttempt) => boolean): readonly GateAttempt[] {
        const removed = [...this.byCustomer.values()].flat().filter(condition);
        removed.forEach((attempt) => this.remove(attempt));
        return removed;
    }
}
