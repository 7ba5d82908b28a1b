import { PlacementCandidate } from "../placement/PlacementCandidate.js";

/** Dependencies of the dispatch state machine, provided by the entry. */
export interface DispatchDependencies {
    /**
     * Ranks the gates of the request's service, best first.
     *
     * @param refused - VMs whose gates have refused this request.
     */
    rank(refused: ReadonlySet<string>): readonly PlacementCandidate[];
    /** Decides at random whether this request may be sent as a probe. */
    shouldProbe(): boolean;
    /** Returns a random number from 0 up to, but not including, 1. */
    random(): number;
    /** Mean time that an endpoint of the service takes for a request, in ms. */
    readonly serviceMs: number;
}
