import { sendLocalReply } from "../../entry/sendLocalReply/index.js";
import { headerValue } from "../../http/headerValue/index.js";
import { HeaderName } from "../../http/HeaderName.js";
import { Outcome } from "../../model/Outcome.js";
import { RefusalReason } from "../../model/RefusalReason.js";
import { RequestContext } from "../RequestContext.js";
import { RequestFilter } from "../RequestFilter.js";

const MAX_TIMEOUT_MS = 3_600_000;

/** Sets the deadline of a request from the caller's timeout header, or from the service's default. */
export class DeadlineFilter implements RequestFilter {
    private constructor() {}

    /** Creates the filter. */
    static create(): DeadlineFilter {
        return new DeadlineFilter();
    }

    async apply(context: RequestContext, next: () => Promise<void>): Promise<void> {
        const text = headerValue(context.request.headers, HeaderName.TimeoutMs);
        const timeoutMs = text === undefined ? context.service?.deadlineMs ?? 0 : Number(text);
        if (!Number.isFinite(timeoutMs) || timeoutMs <= 0 || timeoutMs > MAX_TIMEOUT_MS) {
            sendLocalReply(context, Outcome.NotRun, RefusalReason.BadRequest, 0);
            return;
        }
        context.deadlineAtMs = context.arrivedAtMs + timeoutMs;
        await next();
    }
}
