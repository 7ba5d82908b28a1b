import { MAX_TIMER_MS } from "../../clock/maxTimerMs.js";
import { LimitsItem } from "../../decisions/items/LimitsItem.js";
import { BodyLimits } from "../../http/BodyLimits.js";

/** Limits that apply until the configuration sets others. */
const DEFAULT_MAX_BODY_BYTES = 64 * 1_024 * 1_024;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const DEFAULT_HEADER_TIMEOUT_MS = 3_000;
/** Maximum size of a header section whatever the configuration allows, in bytes. */
const MAX_HEADER_BYTES = 128 * 1_024;
/** Maximum time that a body takes, in ms; the longest time that a route may keep a caller waiting. */
const MAX_BODY_TIME_MS = 600_000;
/** Minimum time for which a caller may read nothing of its response, in ms. */
const MIN_UNREAD_TIMEOUT_MS = 5_000;

/** Limits on what a caller may send and how long it may take. */
export class CallerLimits {
    private constructor(private readonly item: LimitsItem | undefined) {}

    /** Creates the limits of the configuration, or the defaults while there is none. */
    static create(item: LimitsItem | undefined): CallerLimits {
        return new CallerLimits(item);
    }

    /** Maximum size of a header section, in bytes. */
    get maxHeaderBytes(): number {
        return Math.min(MAX_HEADER_BYTES, this.item?.maxHeaderBytes ?? MAX_HEADER_BYTES);
    }

    /** Maximum time in which a header section arrives. */
    get headerTimeoutMs(): number {
        return Math.min(MAX_TIMER_MS, this.item?.headerTimeoutMs ?? DEFAULT_HEADER_TIMEOUT_MS);
    }

    /** Maximum time for which a caller may stay idle. */
    get idleTimeoutMs(): number {
        return Math.min(MAX_TIMER_MS, this.item?.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS);
    }

    /** Maximum time for which a caller may read nothing of its response. */
    get unreadTimeoutMs(): number {
        return Math.max(MIN_UNREAD_TIMEOUT_MS, this.idleTimeoutMs);
    }

    /**
     * Returns the limits on a body.
     *
     * @param patienceMs - Time that the caller waits, or undefined if it is not stated.
     */
    bodyLimits(patienceMs: number | undefined): BodyLimits {
        return {
            maxBytes: this.item?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
            idleTimeoutMs: this.idleTimeoutMs,
            totalTimeoutMs: Math.min(patienceMs ?? MAX_BODY_TIME_MS, MAX_BODY_TIME_MS),
        };
    }
}
