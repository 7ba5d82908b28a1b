import { Grade } from "../../fleet/Grade.js";
import { ObservedOutcome } from "../ObservedOutcome.js";

/** Log-likelihood ratio of a failure: ln(0.6 / 0.02), a gray endpoint against a sound one. */
const FAILURE_WEIGHT = 3.4;
/** Log-likelihood ratio of a success: ln(0.2 / 0.98). */
const SUCCESS_WEIGHT = -1.6;
/** Score from which an endpoint is doubted: one failure, until two successes have followed it. */
const DOUBT_SCORE = 1;
/** Score from which an endpoint is ejected: two failures with no more than one success between them. */
const EJECT_SCORE = 5;
/** Bounds the score, and with it the successes that lead back: one from the bound to doubt, three more to trust. */
const MAX_SCORE = 6;
/** Time after which a score is halved if nothing was observed, so that an idle endpoint is tried again. */
const HALF_LIFE_MS = 6_000;

/**
 * Sequential test of one endpoint by the outcomes of its requests (cumulative sum of log-likelihood ratios, Page 1954).
 *
 * Answers for a service whose endpoints fail about one request in a hundred, and one endpoint of which begins to fail
 * most of its requests while its health check passes.
 */
export class OutcomeTest {
    private score = 0;
    private changedAtMs = 0;
    private failedAtMs = Number.NEGATIVE_INFINITY;

    private constructor() {}

    /** Creates the test of an endpoint of which nothing is known. */
    static create(): OutcomeTest {
        return new OutcomeTest();
    }

    /**
     * Takes the outcome of a request. The success of one that began before the latest failure is no evidence: it was under
     * way when the endpoint still worked, and an endpoint that begins to fail ends what it runs.
     *
     * @param outcome - The outcome.
     * @param nowMs - Current time.
     * @param startedAtMs - Time at which the request was handed to the endpoint.
     */
    observe(outcome: ObservedOutcome, nowMs: number, startedAtMs: number): void {
        if (outcome === ObservedOutcome.Success && startedAtMs < this.failedAtMs) {
            return;
        }
        if (outcome === ObservedOutcome.Failure) {
            this.failedAtMs = nowMs;
        }
        const score = this.scoreAt(nowMs);
        const weight = outcome === ObservedOutcome.Failure ? FAILURE_WEIGHT : SUCCESS_WEIGHT;
        this.score = Math.min(MAX_SCORE, Math.max(0, score + weight));
        this.changedAtMs = nowMs;
    }

    /** Grade of the endpoint at a time. */
    grade(nowMs: number): Grade {
        const score = this.scoreAt(nowMs);
        if (score >= EJECT_SCORE) {
            return Grade.Ejected;
        }
        return score >= DOUBT_SCORE ? Grade.Doubted : Grade.Trusted;
    }

    /** Evidence against the endpoint at a time; 0 if there is none. */
    scoreAt(nowMs: number): number {
        return this.score * 0.5 ** ((nowMs - this.changedAtMs) / HALF_LIFE_MS);
    }
}
