import { HeaderList } from "../model/HeaderList.js";
import { RequestKind } from "../model/RequestKind.js";

/** A request that an entry offers to a gate. */
export interface WorkOffer {
    /** Names the offer among all of the fleet. */
    readonly key: string;
    /** Id that the caller gave the request. */
    readonly requestId: string;
    readonly service: string;
    /** Service that runs on the VM where the request began. */
    readonly callerService: string;
    /** Name of the endpoint that is meant. */
    readonly endpointId: string;
    readonly requestKind: RequestKind;
    /** Rank of the route; 0 is the highest. */
    readonly priority: number;
    readonly method: string;
    /** Path and query. */
    readonly path: string;
    /** Header fields of the caller that go on to the endpoint. */
    readonly headers: HeaderList;
    readonly body: Buffer;
    readonly hasBody: boolean;
    /** Time left until nobody waits for the answer. */
    readonly remainingMs: number;
    /** Time left within which the answer is worth its full value; may be negative. */
    readonly targetRemainingMs: number;
    /** Time that work of this service usually takes. */
    readonly usualMs: number;
    /** Longest expected wait for a slot with which it is let in; 0 if it wants a free slot or none. */
    readonly maxQueueMs: number;
    /** True if it may be spent on an ejected endpoint. */
    readonly isTrial: boolean;
    /** True if the gate has to ask before it hands the request to the endpoint, as the entry may not hear of it. */
    readonly needsGo: boolean;
    /** True if it takes an ejected endpoint when there is no other. */
    readonly isLastResort: boolean;
    /** True if the request has reached an endpoint before. */
    readonly isRepeat: boolean;
    /** Likelihood that it is a call made by a repeated request, from 0 to 1. */
    readonly callOfRepeatShare: number;
}
