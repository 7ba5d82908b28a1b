import type { IncomingMessage, ServerResponse } from "node:http";
import type { Readable } from "node:stream";
import { RouteSpec } from "../decisions/configuration/RouteSpec.js";
import { ServiceSpec } from "../decisions/configuration/ServiceSpec.js";
import { Outcome } from "../model/Outcome.js";
import { RefusalReason } from "../model/RefusalReason.js";
import { ServiceClass } from "../model/ServiceClass.js";

/** A caller's request and the state that the filter chain builds up for it. */
export interface RequestContext {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly requestId: string;
    readonly arrivedAtMs: number;
    customer: string;
    route: RouteSpec | undefined;
    service: ServiceSpec | undefined;
    serviceClass: ServiceClass;
    /** Whether the request can safely run more than once. */
    isIdempotent: boolean;
    deadlineAtMs: number;
    /** Buffered body, stream of a body that can be sent only once, or undefined if there is no body. */
    body: Buffer | Readable | undefined;
    /** Whether the body is buffered or absent, so that the request can be sent more than once. */
    isReplayable: boolean;
    /** Identifies the request when its caller sends it again. */
    fingerprint: string;
    /** Outcome reported to the caller; set once the request has been answered. */
    outcome: Outcome | undefined;
    /** Reason for a refusal or failure, if known. */
    reason: RefusalReason | undefined;
}
