import { Grade } from "../../fleet/Grade.js";
import { TrialWish } from "../TrialWish.js";

/** Time between two trials of an ejected endpoint, in ms: two fit into the 2 s within which a sound endpoint must get work. */
const EJECTED_INTERVAL_MS = 800;
/** Requests that run at a doubted endpoint while it is tried with more. */
const DOUBTED_RUNNING = 2;
/** The same for an endpoint that is trusted, in ms: other work than that which may be repeated is kept from it until then. */
const TRUSTED_STARVED_MS = 1_000;
/** Time without work after which any work is a trial, in ms: within the 2 s in which a sound endpoint must get work. */
const STARVED_MS = 1_300;

/**
 * Paces the trials of an endpoint that is not trusted. An endpoint that fails at once always has free slots and would
 * draw all work of its service; a sound one that is tried shows it by its first answers.
 *
 * Answers for services of which up to half of the endpoints fail most of their work for several seconds.
 */
export class TrialPace {
    private triedAtMs = Number.NEGATIVE_INFINITY;
    private workAtMs = Number.NEGATIVE_INFINITY;

    private constructor() {}

    /** Creates the pace of an endpoint that has not been given any work. */
    static create(): TrialPace {
        return new TrialPace();
    }

    /** Notes that the endpoint was given work. */
    noteWork(grade: Grade, nowMs: number): void {
        this.workAtMs = nowMs;
        if (grade !== Grade.Trusted) {
            this.triedAtMs = nowMs;
        }
    }

    /** True if the endpoint has had no work for a time. */
    hasIdledFor(durationMs: number, nowMs: number): boolean {
        return nowMs - this.workAtMs >= durationMs;
    }

    /** Tells which work the endpoint should be tried with; a trusted one asks for any when it has been without for too long. */
    wish(grade: Grade, running: number, nowMs: number): TrialWish {
        switch (grade) {
            case Grade.Trusted:
                return running === 0 && this.hasIdledFor(TRUSTED_STARVED_MS, nowMs) ? TrialWish.Any : TrialWish.None;
            case Grade.Doubted:
                return this.starvedOr(running < DOUBTED_RUNNING, nowMs);
            case Grade.Ejected:
                return this.starvedOr(nowMs - this.triedAtMs >= EJECTED_INTERVAL_MS, nowMs);
        }
    }

    private starvedOr(wantsRepeatable: boolean, nowMs: number): TrialWish {
        if (this.hasIdledFor(STARVED_MS, nowMs)) {
            return TrialWish.Any;
        }
        return wantsRepeatable ? TrialWish.Repeatable : TrialWish.None;
    }
}
