import { AttemptPhase } from "../AttemptPhase.js";

interface AttemptRecord {
    readonly phase: AttemptPhase;
    /** Time until which the record is kept even below the low-water mark, in ms. */
    readonly keepUntilMs: number;
}

/**
 * Attempts of one entry incarnation at a gate: a low-water mark, and the phases of the attempts that are above it or must
 * be kept longer.
 */
export class EntryAttemptTable {
    private readonly attempts = new Map<number, AttemptRecord>();
    private lowWater = 0;
    private lastSeenAtMs = 0;

    private constructor() {}

    /** Creates an empty table. */
    static create(): EntryAttemptTable {
        return new EntryAttemptTable();
    }

    /** Returns the phase of an attempt, or undefined if there is no record of it. */
    phase(sequence: number): AttemptPhase | undefined {
        return this.attempts.get(sequence)?.phase;
    }

    /** Tells whether an attempt is below the low-water mark: its entry has settled it, so it must not start. */
    isBelowLowWater(sequence: number): boolean {
        return sequence < this.lowWater;
    }

    /** Sets the phase of an attempt and the time until which its record is kept, in ms. */
    set(sequence: number, phase: AttemptPhase, keepUntilMs: number): void {
        this.attempts.set(sequence, { phase, keepUntilMs });
    }

    /** Raises the low-water mark, which never falls, and deletes the expired records of final attempts below it. */
    advanceLowWater(lowWater: number, nowMs: number): void {
        this.lastSeenAtMs = nowMs;
        this.lowWater = Math.max(this.lowWater, lowWater);
        for (const [sequence, attempt] of this.attempts) {
            if (sequence < this.lowWater && isFinal(attempt.phase) && attempt.keepUntilMs <= nowMs) {
                this.attempts.delete(sequence);
            }
        }
    }

    /** Tells whether the entry was last seen before the given time and none of its records must be kept. */
    isIdleSince(beforeMs: number, nowMs: number): boolean {
        const isKept = (attempt: AttemptRecord): boolean => !isFinal(attempt.phase) || attempt.keepUntilMs > nowMs;
        return this.lastSeenAtMs < beforeMs && ![...this.attempts.values()].some(isKept);
    }

    /** Number of recorded attempts. */
    get size(): number {
        return this.attempts.size;
    }
}

function isFinal(phase: AttemptPhase): boolean {
    return phase === AttemptPhase.Finished || phase === AttemptPhase.Refused || phase === AttemptPhase.Voided;
}
