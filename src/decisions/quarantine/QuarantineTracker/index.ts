const DEFAULT_STRIKES = 2;
/** Age from which a strike no longer counts, in ms. */
const STRIKE_TTL_MS = 600_000;
const QUARANTINE_MS = 600_000;
/** Maximum number of strikes that are kept of a request, the latest ones; more than any number that quarantines it. */
const MAX_STRIKES = 16;
/** Maximum number of requests with strikes that are tracked. */
const MAX_FINGERPRINTS = 4_096;

interface StrikeRecord {
    /** Time of each strike, by the id of the backend server's loss. */
    readonly strikes: Map<string, number>;
    quarantinedUntilMs: number;
}

/**
 * Decides which requests are quarantined because they probably crash backend servers. A request gets a strike if it is
 * in flight when a backend server is lost, and is quarantined after two strikes by default. An answer clears its strikes,
 * so that frequent requests are not blamed for crashes that others caused.
 *
 * Deterministic: no clock, no I/O.
 */
export class QuarantineTracker {
    private readonly requests = new Map<string, StrikeRecord>();

    private constructor(private readonly strikesToQuarantine: number) {}

    /**
     * Creates a tracker without strikes.
     *
     * @param strikesToQuarantine - Number of strikes after which a request is quarantined.
     */
    static create(strikesToQuarantine = DEFAULT_STRIKES): QuarantineTracker {
        return new QuarantineTracker(strikesToQuarantine);
    }

    /** Number of strikes that are kept of all requests. */
    get strikeCount(): number {
        return [...this.requests.values()].reduce((sum, { strikes }) => sum + strikes.size, 0);
    }

    /** Number of requests with strikes. */
    get size(): number {
        return this.requests.size;
    }

    /**
     * Adds a strike to a request; a loss counts once.
     *
     * @param fingerprint - Fingerprint of the request.
     * @param lossId - Identifies the loss of the backend server: the incarnation of its gate.
     * @param nowMs - Current time, in ms.
     * @returns True if the loss had not been counted yet.
     */
    recordStrike(fingerprint: string, lossId: string, nowMs: number): boolean {
        const record = this.requests.get(fingerprint) ?? { strikes: new Map<string, number>(), quarantinedUntilMs: 0 };
        if (record.strikes.has(lossId)) {
            return false;
        }
        dropOutdated(record.strikes, nowMs);
        record.strikes.set(lossId, nowMs);
        this.requests.delete(fingerprint);
        this.requests.set(fingerprint, record);
        this.evictOldest();
        if (record.strikes.size >= this.strikesToQuarantine) {
            record.quarantinedUntilMs = nowMs + QUARANTINE_MS;
        }
        return true;
    }

    /** Clears the strikes of a request that was answered; true if it had strikes and is not quarantined. */
    clearStrikes(fingerprint: string, nowMs: number): boolean {
        return this.requests.has(fingerprint) && !this.isQuarantined(fingerprint, nowMs) && this.requests.delete(fingerprint);
    }

    /** Tells whether a request is quarantined and must not run. */
    isQuarantined(fingerprint: string, nowMs: number): boolean {
        return (this.requests.get(fingerprint)?.quarantinedUntilMs ?? 0) > nowMs;
    }

    private evictOldest(): void {
        const oldest = this.requests.keys().next();
        if (this.requests.size > MAX_FINGERPRINTS && oldest.done !== true) {
            this.requests.delete(oldest.value);
        }
    }
}

/** Drops the strikes that no longer count, and the oldest ones so that there is room for another. */
function dropOutdated(strikes: Map<string, number>, nowMs: number): void {
    for (const [lossId, atMs] of strikes) {
        if (nowMs - atMs >= STRIKE_TTL_MS || strikes.size >= MAX_STRIKES) {
            strikes.delete(lossId);
        }
    }
}
