import { Grade } from "../../fleet/Grade.js";
import { ProbeDemand } from "../ProbeDemand.js";

/** Interval between probes of an ejected endpoint, in ms: two fit into the 2 s within which a healthy endpoint must get a request. */
const EJECTED_PROBE_INTERVAL_MS = 1_000;
/** Number of running requests below which a doubted endpoint accepts probes. */
const MAX_RUNNING_DOUBTED = 2;
/** Time since its latest request after which a trusted endpoint accepts any as a probe, in ms; until then repeatable ones are steered to it. */
const MAX_IDLE_TRUSTED_MS = 1_000;
/** The same for an endpoint that is not trusted, in ms: within the 2 s in which a healthy endpoint must get a request. */
const MAX_IDLE_MS = 1_400;

/**
 * Decides when an endpoint accepts probes and of which kind. The rate is limited because an endpoint that fails immediately
 * always has free slots and would attract all requests of its service; a healthy one proves itself by its first answers.
 *
 * Designed for services of which up to half of the endpoints fail most of their requests for several seconds.
 */
export class ProbeScheduler {
    private lastProbeAtMs = Number.NEGATIVE_INFINITY;
    private lastRequestAtMs = Number.NEGATIVE_INFINITY;

    private constructor() {}

    /** Creates a scheduler for an endpoint that has not had any requests yet. */
    static create(): ProbeScheduler {
        return new ProbeScheduler();
    }

    /** Records that the endpoint was given a request; unless the endpoint is trusted, this counts as a probe. */
    recordRequest(grade: Grade, nowMs: number): void {
        this.lastRequestAtMs = nowMs;
        if (grade !== Grade.Trusted) {
            this.lastProbeAtMs = nowMs;
        }
    }

    /** Time since the endpoint was given its latest request, in ms; infinite before the first one. */
    sinceLastRequestMs(nowMs: number): number {
        return nowMs - this.lastRequestAtMs;
    }

    /** Checks whether the endpoint has had no new request for a duration. */
    hasBeenIdleFor(durationMs: number, nowMs: number): boolean {
        return this.sinceLastRequestMs(nowMs) >= durationMs;
    }

    /**
     * Chooses which requests the endpoint accepts as probes; a trusted endpoint accepts any once it has been idle for too long.
     *
     * @param grade - Grade of the endpoint.
     * @param running - Number of requests that it runs; limits the probes of a doubted one.
     * @param nowMs - Current time.
     * @returns The accepted probes.
     */
    chooseDemand(grade: Grade, running: number, nowMs: number): ProbeDemand {
        switch (grade) {
            case Grade.Trusted:
                return this.hasBeenIdleFor(MAX_IDLE_TRUSTED_MS, nowMs) ? ProbeDemand.Any : ProbeDemand.None;
            case Grade.Doubted:
                return this.demandForUntrusted(running < MAX_RUNNING_DOUBTED, nowMs);
            case Grade.Ejected:
                return this.demandForUntrusted(nowMs - this.lastProbeAtMs >= EJECTED_PROBE_INTERVAL_MS, nowMs);
        }
    }

    private demandForUntrusted(canTakeRepeatable: boolean, nowMs: number): ProbeDemand {
        if (this.hasBeenIdleFor(MAX_IDLE_MS, nowMs)) {
            return ProbeDemand.Any;
        }
        return canTakeRepeatable ? ProbeDemand.Repeatable : ProbeDemand.None;
    }
}
