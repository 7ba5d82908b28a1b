import type { IncomingMessage, ServerResponse } from "node:http";
import { RouteIntent } from "../decisions/configuration/RouteIntent.js";
import { ServiceIntent } from "../decisions/configuration/ServiceIntent.js";
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
    route: RouteIntent | undefined;
    service: ServiceIntent | undefined;
    serviceClass: ServiceClass;
    idempotent: boolean;
    deadlineAtMs: number;
    /** Set once the request has been answered. */
    outcome: Outcome | undefined;
    reason: RefusalReason | undefined;
}
