import { ServingRequest } from "../ServingRequest.js";

/** Time constant of the moving counts, in ms. */
const TIME_CONSTANT_MS = 5_000;
/** Number of recent starts below which no shares are told. */
const MIN_STARTS = 3;
/** Count below which an entry is forgotten. */
const MIN_COUNT = 0.01;

/** Kind of started request. */
type StartedKind = Pick<ServingRequest, "organisation" | "organisationPriority" | "priority">;

interface Entry {
    readonly kind: StartedKind;
    count: number;
    atMs: number;
}

/** Moving counts of the starts at one endpoint, by organisation and priorities. */
export class RecentStarts {
    private readonly entries = new Map<string, Entry>();

    private constructor() {}

    /** Creates counts of zero. */
    static create(): RecentStarts {
        return new RecentStarts();
    }

    /** Number of kinds that are remembered. */
    get size(): number {
        return this.entries.size;
    }

    /** Counts a start. */
    record({ organisation, organisationPriority, priority }: StartedKind, nowMs: number): void {
        const key = `${organisationPriority}/${priority}/${organisation}`;
        const entry = this.entries.get(key) ?? { kind: { organisation, organisationPriority, priority }, count: 0, atMs: nowMs };
        entry.count = countAt(entry, nowMs) + 1;
        entry.atMs = nowMs;
        this.entries.set(key, entry);
    }

    /** Returns the share of the recent starts to which a condition applies, from 0 to 1; 0 while there were too few. */
    share(applies: (kind: StartedKind) => boolean, nowMs: number): number {
        let total = 0;
        let applying = 0;
        this.entries.forEach((entry, key) => {
            const count = countAt(entry, nowMs);
            if (count < MIN_COUNT) {
                this.entries.delete(key);
                return;
            }
            total += count;
            applying += applies(entry.kind) ? count : 0;
        });
        return total < MIN_STARTS ? 0 : applying / total;
    }
}

function countAt({ count, atMs }: Entry, nowMs: number): number {
    return count * Math.exp((atMs - nowMs) / TIME_CONSTANT_MS);
}
