import { attemptKey } from "../attemptKey/index.js";
import { FairQueue } from "../FairQueue/index.js";
import { GateAttempt } from "../GateAttempt.js";
import { isReservedClass } from "../isReservedClass/index.js";

/** Attempts that wait for a slot of one endpoint. Submissions and orders take precedence over all other work. */
export class AdmissionQueue {
    private readonly reserved = FairQueue.create();
    private readonly general = FairQueue.create();

    private constructor() {}

    /** Creates an empty queue. */
    static create(): AdmissionQueue {
        return new AdmissionQueue();
    }

    /** Number of waiting attempts. */
    get size(): number {
        return this.reserved.size + this.general.size;
    }

    /** Appends an attempt. */
    push(attempt: GateAttempt): void {
        this.queueFor(attempt).push(attempt);
    }

    /** Removes and returns the next attempt; skips general work unless it can start. */
    shift(canStartGeneral: boolean): GateAttempt | undefined {
        return this.reserved.shift() ?? (canStartGeneral ? this.general.shift() : undefined);
    }

    /**
     * Makes room in an overfull queue: removes and returns the newest attempt of the customer with the most waiting attempts
     * among those that share the queue of the given attempt.
     */
    evictFor(attempt: GateAttempt): GateAttempt {
        const queue = this.queueFor(attempt);
        const evicted = queue.sizeOf(attempt.customer) >= queue.longestLength ? attempt : queue.popFromLongest() ?? attempt;
        queue.remove(evicted);
        return evicted;
    }

    /** Removes one attempt by its key. */
    remove(key: string): void {
        this.removeWhere((attempt) => attemptKey(attempt.id) === key);
    }

    /** Removes and returns all attempts that satisfy a condition. */
    removeWhere(condition: (attempt: GateAttempt) => boolean): readonly GateAttempt[] {
        return [...this.reserved.removeWhere(condition), ...this.general.removeWhere(condition)];
    }

    private queueFor(attempt: GateAttempt): FairQueue {
        return isReservedClass(attempt.serviceClass) ? this.reserved : this.general;
    }
}
