import { ModelLimit } from "./ModelLimit.js";

/** One service of a `FleetModel` and its requests, which arrive at random times at random entries. */
export interface ModelService {
    readonly name: string;
    readonly endpointCount: number;
    /** Requests that one endpoint runs at the same time. */
    readonly slots: number;
    readonly requestsPerSecond: number;
    /** Share of the requests that may be repeated. */
    readonly repeatableShare: number;
    /** Mean time that a request runs; single requests deviate by up to 30 %. */
    readonly workMs: number;
    /** Share of the endpoints that fail most of their requests at any time, in turn. */
    readonly failingShare: number;
    /** Limit that some of its endpoints name in their answers; undefined if none does. */
    readonly limit?: ModelLimit;
    /** Number of endpoints in each failure domain; undefined to spread them evenly. */
    readonly endpointsByDomain?: readonly number[];
    /** Factors on the time that a request runs, which its endpoints have in turn; undefined if all are equally fast. */
    readonly slowness?: readonly number[];
    /** Mean size of a request body; single ones are up to six times as large. */
    readonly bodyBytes?: number;
    readonly responseBytes?: number;
    readonly targetLatencyMs?: number;
    /** Share by which the demand of each failure domain swings, with a period of 13 s. */
    readonly demandSwing?: number;
    /** Share of the requests that are short calls, which run for a fifth of the time. */
    readonly shortShare?: number;
    /** Factor on the time that a request runs while an endpoint has more than three quarters of its slots busy. */
    readonly fullSlowness?: number;
}
