import { EntryKind } from "../EntryKind.js";
import { LogEntry } from "../LogEntry.js";
import { QuorumSnapshot } from "../QuorumSnapshot.js";

/** The entries of a control VM behind its snapshot. */
export class QuorumLog {
    private constructor(private base: QuorumSnapshot, private entries: LogEntry[]) {}

    /** Creates a log from what is durable. */
    static create(snapshot: QuorumSnapshot, entries: readonly LogEntry[]): QuorumLog {
        return new QuorumLog(snapshot, entries.filter((entry) => entry.index > snapshot.lastIndex));
    }

    /** Snapshot in front of the entries. */
    get snapshot(): QuorumSnapshot {
        return this.base;
    }

    /** Index of the last entry, or of the snapshot. */
    get lastIndex(): number {
        return this.entries.at(-1)?.index ?? this.base.lastIndex;
    }

    /** Term of the last entry, or of the snapshot. */
    get lastTerm(): number {
        return this.entries.at(-1)?.term ?? this.base.lastTerm;
    }

    /** Term of an entry; undefined if it is not there, or is in front of the snapshot. */
    termAt(index: number): number | undefined {
        if (index === this.base.lastIndex) {
            return this.base.lastTerm;
        }
        return this.entries[index - this.base.lastIndex - 1]?.term;
    }

    /** Entries from an index on, up to and with another. */
    slice(from: number, to: number): readonly LogEntry[] {
        return this.entries.slice(Math.max(0, from - this.base.lastIndex - 1), Math.max(0, to - this.base.lastIndex));
    }

    /** Voters by the last entry that sets them, whether committed or not. */
    get voters(): readonly string[] {
        const last = this.entries.findLast((entry) => entry.kind === EntryKind.Voters);
        return last?.kind === EntryKind.Voters ? last.voters : this.base.voters;
    }

    /** Index of the last entry that sets the voters; 0 if it is in the snapshot. */
    get votersIndex(): number {
        return this.entries.findLast((entry) => entry.kind === EntryKind.Voters)?.index ?? 0;
    }

    /** Appends an entry. */
    append(entry: LogEntry): void {
        this.entries.push(entry);
    }

    /**
     * Takes entries over; where one differs, it and all behind it are replaced.
     *
     * @returns The entries that were not there before.
     */
    merge(entries: readonly LogEntry[]): readonly LogEntry[] {
        const firstNew = entries.findIndex((entry) => entry.index > this.base.lastIndex && this.termAt(entry.index) !== entry.term);
        const news = firstNew < 0 ? [] : entries.slice(firstNew);
        const first = news[0];
        if (first !== undefined) {
            this.entries = [...this.slice(this.base.lastIndex + 1, first.index - 1), ...news];
        }
        return news;
    }

    /** Replaces the entries up to a snapshot; entries behind it stay if they belong to it. */
    compact(snapshot: QuorumSnapshot): void {
        const belongs = this.termAt(snapshot.lastIndex) === snapshot.lastTerm;
        this.entries = belongs ? [...this.slice(snapshot.lastIndex + 1, this.lastIndex)] : [];
        this.base = snapshot;
    }
}
