import { ServingRequest } from "../ServingRequest.js";
import { StartCount } from "../StartCount.js";

/** Time constant of the moving counts, in ms. */
const TIME_CONSTANT_MS = 5_000;
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

    /** Returns the counts of the kinds that were started recently, and forgets the others. */
    list(nowMs: number): readonly StartCount[] {
        const counts: StartCount[] = [];
        this.entries.forEach((entry, key) => {
            const count = countAt(entry, nowMs);
            if (count < MIN_COUNT) {
                this.entries.delete(key);
            }
            else {
                const { organisation, organisationPriority, priority } = entry.kind;
                counts.push({ organisation, organisationPriority, priority, count });
            }
        });
        return counts;
    }
}

function countAt({ count, atMs }: Entry, nowMs: number): number {
    return count * Math.exp((atMs - nowMs) / TIME_CONSTANT_MS);
}
