import { EntryKind } from "../EntryKind.js";
import { LogEntry } from "../LogEntry.js";
import { QuorumSnapshot } from "../QuorumSnapshot.js";

/** In-memory copy of a control VM's log: the latest snapshot and the entries after it. */
export class QuorumLog {
    private constructor(private base: QuorumSnapshot, private entries: LogEntry[]) {}

    /** Creates a log from persisted state; drops entries that the snapshot already covers. */
    static create(snapshot: QuorumSnapshot, entries: readonly LogEntry[]): QuorumLog {
        return new QuorumLog(snapshot, entries.filter((entry) => entry.index > snapshot.lastIndex));
    }

    /** Snapshot that precedes the entries. */
    get snapshot(): QuorumSnapshot {
        return this.base;
    }

    /** Index of the last entry, or of the snapshot if there are no entries. */
    get lastIndex(): number {
        return this.entries.at(-1)?.index ?? this.base.lastIndex;
    }

    /** Term of the last entry, or of the snapshot if there are no entries. */
    get lastTerm(): number {
        return this.entries.at(-1)?.term ?? this.base.lastTerm;
    }

    /** Returns the term of an entry, or undefined if the entry does not exist or was compacted into the snapshot. */
    termAt(index: number): number | undefined {
        if (index === this.base.lastIndex) {
            return this.base.lastTerm;
        }
        return this.entries[index - this.base.lastIndex - 1]?.term;
    }

    /** Returns the entries from one index to another, both inclusive. */
    slice(from: number, to: number): readonly LogEntry[] {
        return this.entries.slice(Math.max(0, from - this.base.lastIndex - 1), Math.max(0, to - this.base.lastIndex));
    }

    /** Current voters. An entry that sets them takes effect when it is appended, before it is committed. */
    get voters(): readonly string[] {
        const last = this.entries.findLast((entry) => entry.kind === EntryKind.Voters);
        return last?.kind === EntryKind.Voters ? last.voters : this.base.voters;
    }

    /** Index of the last entry that sets the voters; 0 if the voters come from the snapshot. */
    get votersIndex(): number {
        return this.entries.findLast((entry) => entry.kind === EntryKind.Voters)?.index ?? 0;
    }

    /** Appends an entry. */
    append(entry: LogEntry): void {
        this.entries.push(entry);
    }

    /**
     * Adds a leader's entries. The first entry whose term differs from the local one replaces it and everything after it.
     *
     * @returns The entries that were added.
     */
    merge(entries: readonly LogEntry[]): readonly LogEntry[] {
        const firstNew = entries.findIndex((entry) => entry.index > this.base.lastIndex && this.termAt(entry.index) !== entry.term);
        const added = firstNew < 0 ? [] : entries.slice(firstNew);
        const first = added[0];
        if (first !== undefined) {
            this.entries = [...this.slice(this.base.lastIndex + 1, first.index - 1), ...added];
        }
        return added;
    }

    /** Replaces the entries up to a snapshot. Later entries are kept only if the log matches the snapshot's last entry. */
    compact(snapshot: QuorumSnapshot): void {
        const isMatching = this.termAt(snapshot.lastIndex) === snapshot.lastTerm;
        this.entries = isMatching ? [...this.slice(snapshot.lastIndex + 1, this.lastIndex)] : [];
        this.base = snapshot;
    }
}
