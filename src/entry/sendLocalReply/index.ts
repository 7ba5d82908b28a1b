import { RequestContext } from "../../filters/RequestContext.js";
import { HeaderName } from "../../http/HeaderName.js";
import { assertNever } from "../../model/assertNever/index.js";
import { Outcome } from "../../model/Outcome.js";
import { RefusalReason } from "../../model/RefusalReason.js";

const MS_PER_SECOND = 1_000;
const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;
const STATUS_UNPROCESSABLE = 422;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_BAD_GATEWAY = 502;
const STATUS_SERVICE_UNAVAILABLE = 503;
const STATUS_GATEWAY_TIMEOUT = 504;

/**
 * Answers a caller from the entry itself, without an answer of a backend server, and reports whether the request ran.
 *
 * @param context - The request; its outcome and reason are set by this function.
 * @param outcome - Outcome to report to the caller.
 * @param reason - Reason for the refusal or failure, if known.
 * @param retryAfterMs - Delay before a retry is useful, in ms; 0 if unknown.
 * @example
 * sendLocalReply(context, Outcome.NotRun, RefusalReason.Overloaded, 200);
 */
export function sendLocalReply(
    context: RequestContext,
    outcome: Outcome,
    reason: RefusalReason | undefined,
    retryAfterMs: number,
): void {
    const { response, requestId } = context;
    context.outcome = outcome;
    context.reason = reason;
    if (response.headersSent || response.destroyed) {
        response.destroy();
        return;
    }
    const body = JSON.stringify({ requestId, outcome, reason: reason ?? describeOutcome(outcome) });
    response.writeHead(statusOf(outcome, reason), {
        [HeaderName.ContentType]: "application/json",
        [HeaderName.ContentLength]: String(Buffer.byteLength(body)),
        [HeaderName.RequestId]: requestId,
        [HeaderName.Outcome]: outcome,
        ...(reason === undefined ? {} : { [HeaderName.Reason]: reason }),
        ...(retryAfterMs > 0 ? { [HeaderName.RetryAfter]: String(Math.ceil(retryAfterMs / MS_PER_SECOND)) } : {}),
    });
    response.end(body);
}

function statusOf(outcome: Outcome, reason: RefusalReason | undefined): number {
    switch (outcome) {
        case Outcome.Ran:
            return STATUS_BAD_GATEWAY;
        case Outcome.Unknown:
            return reason === RefusalReason.KeyInUse ? STATUS_CONFLICT : STATUS_GATEWAY_TIMEOUT;
        case Outcome.NotRun:
            return statusOfRefusal(reason);
        default:
            return assertNever(outcome);
    }
}

function statusOfRefusal(reason: RefusalReason | undefined): number {
    switch (reason) {
        case RefusalReason.NoRoute:
            return STATUS_NOT_FOUND;
        case RefusalReason.CustomerLimit:
            return STATUS_TOO_MANY_REQUESTS;
        case RefusalReason.BadRequest:
        case RefusalReason.KeyRequired:
            return STATUS_BAD_REQUEST;
        case RefusalReason.KeyBodyMismatch:
            return STATUS_UNPROCESSABLE;
        default:
            return STATUS_SERVICE_UNAVAILABLE;
    }
}

function describeOutcome(outcome: Outcome): string {
    switch (outcome) {
        case Outcome.Ran:
            return "the request ran, but its answer could not be had whole";
        case Outcome.Unknown:
            return "it is not known whether the request ran";
        case Outcome.NotRun:
            return "the request did not run";
        default:
            return assertNever(outcome);
    }
}
