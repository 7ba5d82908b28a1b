import { nowMs } from "../../clock/nowMs/index.js";
import { ConfigurationView } from "../../decisions/configuration/ConfigurationView/index.js";
import { CustomerLimiter } from "../../decisions/limits/CustomerLimiter/index.js";
import { sendLocalReply } from "../../entry/sendLocalReply/index.js";
import { Outcome } from "../../model/Outcome.js";
import { RefusalReason } from "../../model/RefusalReason.js";
import { RequestContext } from "../RequestContext.js";
import { RequestFilter } from "../RequestFilter.js";

/** Refuses requests of customers that exceed their rate limit. */
export class RateLimitFilter implements RequestFilter {
    private readonly limiter = CustomerLimiter.create();

    private constructor(private readonly view: () => ConfigurationView) {}

    /** Creates the filter for the configuration in force. */
    static create(view: () => ConfigurationView): RateLimitFilter {
        return new RateLimitFilter(view);
    }

    async apply(context: RequestContext, next: () => Promise<void>): Promise<void> {
        const view = this.view();
        const limit = view.customer(context.customer) ?? view.fleet?.customerDefault;
        const waitMs = limit === undefined
            ? 0
            : this.limiter.take(context.customer, limit.requestsPerSecond, limit.burst, nowMs());
        if (waitMs > 0) {
            sendLocalReply(context, Outcome.NotRun, RefusalReason.CustomerLimit, waitMs);
            return;
        }
        await next();
    }
}
