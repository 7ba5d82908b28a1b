import { RequestKind } from "../../model/RequestKind.js";

/** What the course of a request has to know of it. */
export interface CoursePlan {
    readonly requestKind: RequestKind;
    /** Most endpoints that the request may reach. */
    readonly maxAttempts: number;
    /** Time at which the caller has to have an answer. */
    readonly deadlineAtMs: number;
    /** Time until which an answer is worth its full value. */
    readonly targetAtMs: number;
}
