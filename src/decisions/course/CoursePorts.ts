import { PlacementCandidate } from "../placement/PlacementCandidate.js";

/** What the course of a request asks of its entry. */
export interface CoursePorts {
    /** Gates of the request's service, the best one first. */
    rank(refused: ReadonlySet<string>): readonly PlacementCandidate[];
    /** True if this request should try an endpoint that wants a trial. */
    drawTrial(): boolean;
    /** Mean time of the work at the service's endpoints. */
    readonly serviceMs: number;
}
