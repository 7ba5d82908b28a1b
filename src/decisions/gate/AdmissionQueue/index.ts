import { attemptKey } from "../attemptKey/index.js";
import { FairQueue } from "../FairQueue/index.js";
import { GateAttempt } from "../GateAttempt.js";
import { isReservedClass } from "../isReservedClass/index.js";

/** Attempts that wait for a slot of one endpoint: submissions and orders in front of all other work. */
export class AdmissionQueue {
    private readonly reserved = FairQueue.create();
    private readonly general = FairQueue.create();

    private constructor() {}

    /** Creates an empty queue. */
    static create(): AdmissionQueue {
        return new AdmissionQueue();
    }

    /** Number of attempts waiting. */
    get size(): number {
        return this.reserved.size + this.general.size;
    }

    /** Appends an attempt. */
    push(attempt: GateAttempt): void {
        this.queueOf(attempt).push(attempt);
    }

    /** Takes the next attempt; work of the general classes only if it may start. */
    shift(mayStartGeneral: boolean): GateAttempt | undefined {
        return this.reserved.shift() ?? (mayStartGeneral ? this.general.shift() : undefined);
    }

    /** Takes an attempt out of an overfull queue: the newest of the customer with the longest line of that kind of work. */
    dropFor(attempt: GateAttempt): GateAttempt {
        const queue = this.queueOf(attempt);
        const dropped = queue.sizeOf(attempt.customer) >= queue.longest ? attempt : queue.popLongest() ?? attempt;
        queue.remove(dropped);
        return dropped;
    }

    /** Takes out one attempt by its key. */
    remove(key: string): void {
        this.removeWhere((attempt) => attemptKey(attempt.id) === key);
    }

    /** Takes out and returns all attempts that satisfy the condition. */
    removeWhere(condition: (attempt: GateAttempt) => boolean): readonly GateAttempt[] {
        return [...this.reserved.removeWhere(condition), ...this.general.removeWhere(condition)];
    }

    private queueOf(attempt: GateAttempt): FairQueue {
        return isReservedClass(attempt.serviceClass) ? this.reserved : this.general;
    }
}
