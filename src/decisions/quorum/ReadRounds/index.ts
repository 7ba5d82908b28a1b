interface PendingRead {
    readonly id: number;
    /** First round of heartbeats that confirms the read. */
    readonly round: number;
}

/**
 * Rounds of heartbeats by which a leader confirms reads (Ongaro's thesis, section 6.4). A read is confirmed by a round that started after
 * it; reads that arrive during a round share the next one.
 */
export class ReadRounds {
    private pending: PendingRead[] = [];
    private latestRound = 0;

    private constructor() {}

    /** Creates rounds without reads. */
    static create(): ReadRounds {
        return new ReadRounds();
    }

    /** Latest round that was started. */
    get round(): number {
        return this.latestRound;
    }

    /** Adds a read. */
    add(id: number): void {
        this.pending.push({ id, round: this.latestRound + 1 });
    }

    /** Starts a round if a read waits for one and the latest round is confirmed. Returns true if it did. */
    startNext(confirmedRound: number): boolean {
        const isDue = this.pending.some(({ round }) => round > this.latestRound) && confirmedRound >= this.latestRound;
        this.latestRound += Number(isDue);
        return isDue;
    }

    /** Removes the reads that a round confirms, and returns their ids. */
    takeConfirmed(confirmedRound: number): readonly number[] {
        const ids = this.pending.filter(({ round }) => round <= confirmedRound).map(({ id }) => id);
        this.pending = this.pending.filter(({ round }) => round > confirmedRound);
        return ids;
    }

    /** Removes all reads. */
    clear(): void {
        this.pending = [];
    }
}
