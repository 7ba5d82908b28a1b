import { AttemptId } from "../../model/AttemptId.js";

/** Allocates the attempt ids of an entry and tracks their low-water mark: the lowest sequence number not settled. */
export class AttemptIdAllocator {
    private readonly unsettled = new Set<number>();
    private nextSequence = 1;

    private constructor(private readonly entry: string) {}

    /**
     * Creates the allocator of an entry incarnation.
     *
     * @param entry - Incarnation of the entry.
     */
    static create(entry: string): AttemptIdAllocator {
        return new AttemptIdAllocator(entry);
    }

    /** Allocates the id of a new attempt. */
    allocate(): AttemptId {
        const sequence = this.nextSequence;
        this.nextSequence += 1;
        this.unsettled.add(sequence);
        return { entry: this.entry, sequence };
    }

    /** Marks attempts as settled: the entry no longer asks about them, and gates must not start them. */
    markSettled(ids: readonly AttemptId[]): void {
        ids.forEach((id) => this.unsettled.delete(id.sequence));
    }

    /** Lowest sequence number that is not settled. */
    get lowWater(): number {
        const lowest = this.unsettled.values().next();
        return lowest.done === true ? this.nextSequence : lowest.value;
    }
}
