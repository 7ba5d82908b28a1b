import { HeaderList } from "../model/HeaderList.js";
import { RequestKind } from "../model/RequestKind.js";

/** Request that an entry offers to a gate. */
export interface WorkOffer {
    /** Identifies the offer within the fleet. */
    readonly key: string;
    /** Id of the request, set by the caller. */
    readonly requestId: string;
    readonly service: string;
    /** Service on the VM where the request originates. */
    readonly callerService: string;
    /** Id of the intended endpoint; empty for any endpoint of the service. */
    readonly endpointId: string;
    readonly requestKind: RequestKind;
    /** Priority of the route; 0 is the highest. */
    readonly priority: number;
    /** Organisation of the caller; empty for none. */
    readonly organisation: string;
    /** Priority of the organisation, before that of the route; 0 is the highest, and that of requests without an organisation. */
    readonly organisationPriority: number;
    readonly method: string;
    /** Path and query. */
    readonly path: string;
    /** Header fields of the caller that are forwarded to the endpoint. */
    readonly headers: HeaderList;
    /** Body; empty if it comes with the confirmation. */
    readonly body: Buffer;
    /** Size of a body that comes with the confirmation, in bytes; absent if there is none. */
    readonly deferredBodyBytes?: number;
    readonly hasBody: boolean;
    /** Time until the deadline, after which the caller no longer waits. */
    readonly remainingMs: number;
    /** Time until the target latency of the route is exceeded; may be negative. */
    readonly targetRemainingMs: number;
    /** Mean service time of requests to this service. */
    readonly usualMs: number;
    /** Maximum expected queueing time with which the request is admitted; 0 to admit it only to a free slot. */
    readonly maxQueueMs: number;
    /** True for a probe request, which may be sent to an ejected endpoint. */
    readonly isTrial: boolean;
    /** True if the gate waits for a confirmation before it sends the request to the endpoint, since its replies may get lost. */
    readonly needsGo: boolean;
    /** True if the request may go to an ejected endpoint because no other is available. */
    readonly isLastResort: boolean;
    /** True for a retry: the request has already reached an endpoint. */
    readonly isRepeat: boolean;
    /** Probability that the request is a call made by a retried request, from 0 to 1. */
    readonly callOfRepeatShare: number;
    /** Requests per second that the endpoint accepts, as it has told the entry, for a gate that has restarted since; undefined without a limit. */
    readonly limitPerSecond: number | undefined;
    /** True if the entry takes the body of a long response in pieces; entries of earlier versions do not. */
    readonly acceptsStream?: boolean;
}
