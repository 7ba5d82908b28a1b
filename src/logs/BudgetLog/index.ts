import { nowMs } from "../../clock/nowMs/index.js";
import { EventLog } from "../EventLog/index.js";
import { EventNumber } from "../EventNumber.js";

/** Minimum time between two lines about one holder, in ms. */
const LINE_INTERVAL_MS = 1_000;

interface Holder {
    loggedAtMs: number;
    /** Refusals since the last line. */
    refusals: number;
}

/** Logs that a limit on what is held in memory has refused more, with a bounded number of lines. */
export class BudgetLog {
    private readonly holders = new Map<string, Holder>();

    private constructor(private readonly events: EventLog) {}

    /**
     * Creates a log without refusals.
     *
     * @param events - Event log.
     */
    static create(events: EventLog): BudgetLog {
        return new BudgetLog(events);
    }

    /**
     * Records a refusal. The first one of a holder is logged at once, later ones at most every second with their number.
     *
     * @param holder - Name of what is held, such as `request bodies`; one of a few constant names.
     * @param held - What is held now, in the unit of the limit.
     * @param limit - The limit.
     * @param peer - Who caused the refusal, if known.
     */
    recordRefusal(holder: string, held: number, limit: number, peer?: string): void {
        const state = this.holders.get(holder) ?? { loggedAtMs: Number.NEGATIVE_INFINITY, refusals: 0 };
        this.holders.set(holder, state);
        state.refusals += 1;
        const atMs = nowMs();
        if (atMs - state.loggedAtMs >= LINE_INTERVAL_MS) {
            this.events.record(EventNumber.BudgetExceeded, { holder, held, limit, peer, refusals: state.refusals });
            state.loggedAtMs = atMs;
            state.refusals = 0;
        }
    }
}
