import { LogEntry } from "../../decisions/quorum/LogEntry.js";
import { FleetError } from "../../model/FleetError.js";

/** Time after which a change that is not committed is reported as undecided, in ms; it may still be committed later. */
const COMMIT_TIMEOUT_MS = 4_000;
/** Limits of the changes that wait for a majority of the voters: their number, and the size of their documents in characters. */
const MAX_COMMITS = 256;
const MAX_CHARACTERS = 16 * 1_024 * 1_024;

interface PendingCommit {
    readonly term: number;
    /** Size of the documents of the entry, in characters. */
    readonly size: number;
    readonly timer: NodeJS.Timeout | undefined;
    readonly resolve: () => void;
    readonly reject: (error: FleetError) => void;
}

/** Entries of a leader that wait to be committed. One that is late is rejected, but counts for the limits until it is decided. */
export class PendingCommits {
    private readonly byIndex = new Map<number, PendingCommit>();
    private totalSize = 0;

    private constructor() {}

    /** Creates a set without entries. */
    static create(): PendingCommits {
        return new PendingCommits();
    }

    /** Number of entries that wait. */
    get count(): number {
        return this.byIndex.size;
    }

    /** Returns whether an entry with documents of some size may be added; a single one always may. */
    hasRoomFor(size: number): boolean {
        return this.byIndex.size < MAX_COMMITS && (this.totalSize === 0 || this.totalSize + size <= MAX_CHARACTERS);
    }

    /**
     * Adds an entry.
     *
     * @param index - Index of the entry.
     * @param term - Term of the entry.
     * @param size - Size of its documents, in characters.
     * @param createTimeoutError - Creates the error of an entry that is late; without it, the entry may take any time.
     * @returns Promise that resolves once the entry is committed.
     */
    add(index: number, term: number, size: number, createTimeoutError?: () => FleetError): Promise<void> {
        const committed = new Promise<void>((resolve, reject) => {
            const timer = createTimeoutError === undefined ? undefined : setTimeout(() => reject(createTimeoutError()), COMMIT_TIMEOUT_MS);
            this.byIndex.set(index, { term, size, timer, resolve, reject });
        });
        this.totalSize += size;
        committed.catch(() => undefined);
        return committed;
    }

    /** Resolves the entry that waits at the index of a committed one, or rejects it if another leader's entry has replaced it. */
    settle({ index, term }: LogEntry, createReplacedError: () => FleetError): void {
        const pending = this.byIndex.get(index);
        if (pending === undefined) {
            return;
        }
        this.byIndex.delete(index);
        this.totalSize -= pending.size;
        clearTimeout(pending.timer);
        if (pending.term === term) {
            pending.resolve();
        }
        else {
            pending.reject(createReplacedError());
        }
    }

    /** Rejects all entries. */
    rejectAll(error: FleetError): void {
        this.byIndex.forEach((pending) => pending.reject(error));
        this.clear();
    }

    /** Forgets all entries; their promises stay pending. */
    clear(): void {
        this.byIndex.forEach(({ timer }) => clearTimeout(timer));
        this.byIndex.clear();
        this.totalSize = 0;
    }
}
