interface PendingWrite {
    readonly number: number;
    readonly hasHardState: boolean;
    /** Index from which on the stored log may differ from the one in memory. */
    readonly firstIndex: number;
}

/** Tracks the writes of a quorum machine that are not synced to disk yet. */
export class WriteProgress {
    private readonly pending: PendingWrite[] = [];
    private count = 0;

    private constructor() {}

    /** Creates a tracker without writes. */
    static create(): WriteProgress {
        return new WriteProgress();
    }

    /** True while any write is pending. */
    get isPending(): boolean {
        return this.pending.length > 0;
    }

    /**
     * Adds a write.
     *
     * @param hasHardState - True if the write has a term and a vote.
     * @param firstIndex - Index from which on it changes the stored log; infinite if it does not.
     * @returns Number of the write, counted up from 1.
     */
    start(hasHardState: boolean, firstIndex: number): number {
        this.count += 1;
        this.pending.push({ number: this.count, hasHardState, firstIndex });
        return this.count;
    }

    /** Records that the writes up to and including a number are synced. */
    recordSynced(writeNumber: number): void {
        while (this.pending[0] !== undefined && this.pending[0].number <= writeNumber) {
            this.pending.shift();
        }
    }

    /** Returns true while a write with a term and a vote is pending. */
    hasPendingHardState(): boolean {
        return this.pending.some(({ hasHardState }) => hasHardState);
    }

    /** Returns the index up to which a log with a last index is stored as well as held in memory. */
    syncedIndex(lastIndex: number): number {
        return Math.min(lastIndex, ...this.pending.map(({ firstIndex }) => firstIndex - 1));
    }
}
