import { AttemptPhase } from "../AttemptPhase.js";

interface RememberedAttempt {
    readonly phase: AttemptPhase;
    /** Time until which the phase is kept although the low-water mark has passed it, in ms. */
    readonly keepUntilMs: number;
}

/** What a gate remembers of the attempts of one entry incarnation: a low-water mark and the phases above it. */
export class EntryLedger {
    private readonly attempts = new Map<number, RememberedAttempt>();
    private lowWater = 0;
    private touchedAtMs = 0;

    private constructor() {}

    /** Creates the ledger of an entry not heard of before. */
    static create(): EntryLedger {
        return new EntryLedger();
    }

    /** Returns the phase of an attempt, or undefined if it is not remembered. */
    phase(sequence: number): AttemptPhase | undefined {
        return this.attempts.get(sequence)?.phase;
    }

    /** Tells whether the entry has settled the attempt, so that it must not start any more. */
    isSettled(sequence: number): boolean {
        return sequence < this.lowWater;
    }

    /** Sets the phase of an attempt and how long it is kept at least. */
    set(sequence: number, phase: AttemptPhase, keepUntilMs: number): void {
        this.attempts.set(sequence, { phase, keepUntilMs });
    }

    /** Raises the low-water mark, which never goes down, and forgets the final attempts below it. */
    advance(lowWater: number, nowMs: number): void {
        this.touchedAtMs = nowMs;
        this.lowWater = Math.max(this.lowWater, lowWater);
        for (const [sequence, attempt] of this.attempts) {
            if (sequence < this.lowWater && isFinal(attempt.phase) && attempt.keepUntilMs <= nowMs) {
                this.attempts.delete(sequence);
            }
        }
    }

    /** Tells whether the entry was last heard of before the given time and nothing of it has to be kept. */
    isIdleSince(beforeMs: number, nowMs: number): boolean {
        const isKept = (attempt: RememberedAttempt): boolean => !isFinal(attempt.phase) || attempt.keepUntilMs > nowMs;
        return this.touchedAtMs < beforeMs && ![...this.attempts.values()].some(isKept);
    }

    /** Number of attempts remembered. */
    get size(): number {
        return this.attempts.size;
    }
}

function isFinal(phase: AttemptPhase): boolean {
    return phase === AttemptPhase.Finished || phase === AttemptPhase.Refused || phase === AttemptPhase.Voided;
}
