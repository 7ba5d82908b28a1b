import { ServingRequest } from "./ServingRequest.js";

/** A waiting request of an organisation with the virtual time at which it is to start by fair queueing. */
export interface WaitingTurn {
    readonly request: ServingRequest;
    readonly startTag: number;
}
