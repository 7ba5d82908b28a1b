import { nowMs } from "../../clock/nowMs/index.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { RequestMetrics } from "../../metrics/RequestMetrics/index.js";
import { Outcome } from "../../model/Outcome.js";
import { RequestContext } from "../RequestContext.js";
import { RequestFilter } from "../RequestFilter.js";

/** Records the outcome of each request in the metrics; logs refused requests and unknown outcomes. */
export class RecordFilter implements RequestFilter {
    private constructor(private readonly metrics: RequestMetrics, private readonly events: EventLog) {}

    /** Creates the filter. */
    static create(metrics: RequestMetrics, events: EventLog): RecordFilter {
        return new RecordFilter(metrics, events);
    }

    async apply(context: RequestContext, next: () => Promise<void>): Promise<void> {
        try {
            await next();
        }
        finally {
            this.record(context);
        }
    }

    private record(context: RequestContext): void {
        const { requestId, customer, serviceClass, reason } = context;
        const outcome = context.outcome ?? Outcome.Unknown;
        this.metrics.record(customer, serviceClass, outcome, nowMs() - context.arrivedAtMs);
        const fields = { requestId, customer, service: context.service?.name, outcome, reason };
        if (outcome === Outcome.NotRun) {
            this.events.record(EventNumber.RequestRefused, fields);
        }
        if (outcome === Outcome.Unknown) {
            this.events.record(EventNumber.OutcomeUnknown, fields);
        }
    }
}
