import type { IncomingMessage, ServerResponse } from "node:http";
import type { Readable } from "node:stream";
import { RouteSpec } from "../decisions/configuration/RouteSpec.js";
import { ServiceSpec } from "../decisions/configuration/ServiceSpec.js";
import { Outcome } from "../model/Outcome.js";
import { RefusalReason } from "../model/RefusalReason.js";
import { ServiceClass } from "../model/ServiceClass.js";

/** A request of a caller on its way through the filter chain. */
export interface RequestContext {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly requestId: string;
    readonly arrivedAtMs: number;
    customer: string;
    route: RouteSpec | undefined;
    service: ServiceSpec | undefined;
    serviceClass: ServiceClass;
    idempotent: boolean;
    deadlineAtMs: number;
    /** Body in memory, the stream of a body that is sent once only, or undefined for none. */
    body: Buffer | Readable | undefined;
    /** Whether the request can be sent more than once. */
    isReplayable: boolean;
    /** Recognises the request when its caller sends it again. */
    fingerprint: string;
    /** Set once the request has been answered. */
    outcome: Outcome | undefined;
    reason: RefusalReason | undefined;
}
