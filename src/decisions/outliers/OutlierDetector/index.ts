import { Grade } from "../../fleet/Grade.js";
import { ObservedOutcome } from "../ObservedOutcome.js";

/** Log-likelihood ratio of a failure: ln(0.6 / 0.02), failure rates of a gray and of a healthy endpoint. */
const FAILURE_WEIGHT = 3.4;
/** Log-likelihood ratio of a success: ln(0.2 / 0.98). */
const SUCCESS_WEIGHT = -1.6;
/** Score from which an endpoint is doubted: reached by one failure, until two successes follow it. */
const DOUBT_SCORE = 1;
/** Score from which an endpoint is ejected: reached by two failures with no more than one success between them. */
const EJECT_SCORE = 5;
/** Upper bound of the score, which bounds recovery: from here, one success leads to doubted and three more to trusted. */
const MAX_SCORE = 6;
/** Time in which the score halves without new outcomes, in ms, so that an idle endpoint gets requests again. */
const HALF_LIFE_MS = 6_000;

/**
 * Outlier detection for one endpoint: decides its grade by a sequential test of the outcomes of its requests (CUSUM, the
 * cumulative sum of log-likelihood ratios, Page 1954).
 *
 * Designed for a service whose endpoints fail about one request in a hundred, while one endpoint begins to fail most of
 * its requests although its health check passes.
 */
export class OutlierDetector {
    private score = 0;
    private changedAtMs = 0;
    private lastFailureAtMs = Number.NEGATIVE_INFINITY;

    private constructor() {}

    /** Creates a detector without any samples, which grades the endpoint as trusted. */
    static create(): OutlierDetector {
        return new OutlierDetector();
    }

    /**
     * Adds the outcome of a request. The success of a request that started before the latest failure is ignored: it began
     * while the endpoint still worked, and an endpoint that begins to fail still completes its running requests.
     *
     * @param outcome - The outcome.
     * @param nowMs - Current time.
     * @param startedAtMs - Time at which the endpoint received the request.
     */
    observe(outcome: ObservedOutcome, nowMs: number, startedAtMs: number): void {
        if (outcome === ObservedOutcome.Success && startedAtMs < this.lastFailureAtMs) {
            return;
        }
        if (outcome === ObservedOutcome.Failure) {
            this.lastFailureAtMs = nowMs;
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

    /** Score at a time, decayed since the last outcome; 0 if there is no evidence of failure. */
    scoreAt(nowMs: number): number {
        return this.score * 0.5 ** ((nowMs - this.changedAtMs) / HALF_LIFE_MS);
    }
}
