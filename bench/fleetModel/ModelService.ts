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
}
