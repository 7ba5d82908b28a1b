/** Number of levels of concurrency that are told apart, each an equal share of the slots. */
const LEVELS = 8;
/** Lowest level that is a limit: half of the slots. */
const MIN_LEVEL = 4;
/** Time in which the weight of a measurement halves, in ms: about the 13 s in which demand swings through all levels. */
const HALF_LIFE_MS = 15_000;
/** Weight of measurements from which the throughput of a level counts as known; single requests differ by 30 %. */
const MIN_WEIGHT = 4;
/** Ratio of throughputs from which a lower level is better; a smaller one may be chance. */
const MIN_GAIN = 1.2;
/** Bounds of the slowness of one request; a longer one has met a pause. */
const MAX_SLOWNESS = 20;

interface Level {
    /** Decayed number of answered requests. */
    weight: number;
    /** Decayed sum of their slowness. */
    slowness: number;
    /** Decayed number of requests that the endpoint shed. */
    shed: number;
    atMs: number;
}

/**
 * Limits the requests that run at an endpoint at the same time, between half of its slots and all, by the throughput that it
 * has shown: an endpoint that slows down when it is nearly full, or sheds then, answers more requests with fewer at a time.
 *
 * The limit falls level by level while a lower level has a clearly higher throughput (Little's law: concurrency divided by
 * time, less the share that is shed). Measurements fade, so that a level is tried again after about half a minute. Without a
 * clear difference all slots are used.
 *
 * Designed for endpoints with 8 slots and some requests per second, a part of which becomes several times as slow above three
 * quarters of its slots.
 */
export class ConcurrencyLimit {
    private readonly levels: Level[] = Array.from({ length: LEVELS + 1 }, () => ({ weight: 0, slowness: 0, shed: 0, atMs: 0 }));

    private constructor() {}

    /** Creates a limit of all slots. */
    static create(): ConcurrencyLimit {
        return new ConcurrencyLimit();
    }

    /**
     * Records a request that the endpoint has answered.
     *
     * @param busyShare - Share of the slots that were in use when it started, its own included.
     * @param slowness - Time that it ran divided by the usual time of such requests.
     * @param nowMs - Current time.
     */
    recordAnswer(busyShare: number, slowness: number, nowMs: number): void {
        const level = this.fade(busyShare, nowMs);
        if (level !== undefined && Number.isFinite(slowness)) {
            level.weight += 1;
            level.slowness += Math.min(MAX_SLOWNESS, slowness);
        }
    }

    /**
     * Records a request that the endpoint has shed.
     *
     * @param busyShare - Share of the slots that were in use when it started, its own included.
     * @param nowMs - Current time.
     */
    recordShed(busyShare: number, nowMs: number): void {
        const level = this.fade(busyShare, nowMs);
        if (level !== undefined) {
            level.shed += 1;
        }
    }

    /**
     * Returns how many requests may run at the same time.
     *
     * @param slots - Slots of the endpoint.
     * @param nowMs - Current time.
     */
    limit(slots: number, nowMs: number): number {
        const throughputs = this.levels.map((level, number) => throughputOf(level, number, nowMs));
        let limit = LEVELS;
        while (limit > MIN_LEVEL && isTooHigh(throughputs, limit)) {
            limit -= 1;
        }
        return Math.max(1, Math.ceil(slots * limit / LEVELS));
    }

    /** Fades the measurements of the level of a share, and returns it. */
    private fade(busyShare: number, nowMs: number): Level | undefined {
        const level = this.levels[Math.min(LEVELS, Math.max(1, Math.ceil(busyShare * LEVELS)))];
        if (level !== undefined) {
            const factor = fadeFactor(level, nowMs);
            level.weight *= factor;
            level.slowness *= factor;
            level.shed *= factor;
            level.atMs = nowMs;
        }
        return level;
    }
}

function fadeFactor({ atMs }: Level, nowMs: number): number {
    return 2 ** (-Math.max(0, nowMs - atMs) / HALF_LIFE_MS);
}

/** Throughput of a level in any unit, or undefined if it is not known. */
function throughputOf(level: Level, number: number, nowMs: number): number | undefined {
    const { weight, slowness, shed } = level;
    if ((weight + shed) * fadeFactor(level, nowMs) < MIN_WEIGHT) {
        return undefined;
    }
    return weight === 0 ? 0 : number / (slowness / weight) * (weight / (weight + shed));
}

/** True if a lower level has a clearly higher throughput than a level or, if that is not known, than the next one below that is. */
function isTooHigh(throughputs: readonly (number | undefined)[], limit: number): boolean {
    const known = throughputs.slice(0, limit + 1).filter((throughput) => throughput !== undefined);
    const highest = known.pop();
    return highest !== undefined && known.some((throughput) => throughput > MIN_GAIN * highest);
}
