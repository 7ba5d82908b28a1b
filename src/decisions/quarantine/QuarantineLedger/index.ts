const DEFAULT_STRIKES = 2;
const STRIKE_VALID_MS = 600_000;
const QUARANTINE_MS = 600_000;
const MAX_FINGERPRINTS = 4_096;

interface StruckRequest {
    /** Losses of backend servers with the request in flight: the time of each, by loss. */
    readonly strikes: Map<string, number>;
    quarantinedUntilMs: number;
}

/**
 * Remembers which requests were in flight when a backend server was lost. A request in flight at two losses is
 * quarantined; one that has been answered meanwhile is acquitted, so that popular requests are not blamed for others.
 *
 * Deterministic: no clock, no input or output.
 */
export class QuarantineLedger {
    private readonly requests = new Map<string, StruckRequest>();

    private constructor(private readonly strikesToQuarantine: number) {}

    /**
     * Creates a ledger without strikes.
     *
     * @param strikesToQuarantine - Losses after which a request is quarantined.
     */
    static create(strikesToQuarantine = DEFAULT_STRIKES): QuarantineLedger {
        return new QuarantineLedger(strikesToQuarantine);
    }

    /** Number of requests remembered. */
    get size(): number {
        return this.requests.size;
    }

    /**
     * Takes a strike.
     *
     * @param fingerprint - Fingerprint of the request.
     * @param loss - Names the loss of the backend server: the incarnation of its gate.
     * @param nowMs - Current time.
     * @returns True if the strike is news.
     */
    strike(fingerprint: string, loss: string, nowMs: number): boolean {
        const known = this.requests.get(fingerprint) ?? { strikes: new Map<string, number>(), quarantinedUntilMs: 0 };
        if (known.strikes.has(loss)) {
            return false;
        }
        known.strikes.set(loss, nowMs);
        this.requests.delete(fingerprint);
        this.requests.set(fingerprint, known);
        this.forgetOldest();
        const valid = [...known.strikes.values()].filter((atMs) => nowMs - atMs < STRIKE_VALID_MS);
        if (valid.length >= this.strikesToQuarantine) {
            known.quarantinedUntilMs = nowMs + QUARANTINE_MS;
        }
        return true;
    }

    /** Takes note that a request was answered; true if it had strikes and is not quarantined. */
    acquit(fingerprint: string, nowMs: number): boolean {
        return this.requests.has(fingerprint) && !this.isQuarantined(fingerprint, nowMs) && this.requests.delete(fingerprint);
    }

    /** Tells whether a request must not be run. */
    isQuarantined(fingerprint: string, nowMs: number): boolean {
        return (this.requests.get(fingerprint)?.quarantinedUntilMs ?? 0) > nowMs;
    }

    private forgetOldest(): void {
        const oldest = this.requests.keys().next();
        if (this.requests.size > MAX_FINGERPRINTS && oldest.done !== true) {
            this.requests.delete(oldest.value);
        }
    }
}
