import { AttemptId } from "../../model/AttemptId.js";

/** Numbers the attempts of an entry and knows the lowest one that is not settled. */
export class AttemptNumbering {
    private readonly open = new Set<number>();
    private next = 1;

    private constructor(private readonly entry: string) {}

    /**
     * Creates the numbering of an entry.
     *
     * @param entry - Incarnation of the entry.
     */
    static create(entry: string): AttemptNumbering {
        return new AttemptNumbering(entry);
    }

    /** Numbers a new attempt. */
    nextId(): AttemptId {
        const sequence = this.next;
        this.next += 1;
        this.open.add(sequence);
        return { entry: this.entry, sequence };
    }

    /** Marks attempts as settled: the entry will not ask for them again, and gates must not start them any more. */
    settle(ids: readonly AttemptId[]): void {
        ids.forEach((id) => this.open.delete(id.sequence));
    }

    /** Lowest sequence that is not settled. */
    get lowWater(): number {
        const lowest = this.open.values().next();
        return lowest.done === true ? this.next : lowest.value;
    }
}
