import { EndpointReport } from "../../decisions/fleet/EndpointReport.js";
import { EndpointLimiter } from "../../decisions/limits/EndpointLimiter/index.js";
import { SendReason } from "../../decisions/limits/SendReason.js";
import { SendWindow } from "../../decisions/limits/SendWindow/index.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";

/** Length of the window in which requests are counted, in ms. */
const WINDOW_MS = 4_000;

/** Logs the limits that an endpoint names, and each excess of the requests sent to it. */
export class EndpointMonitor {
    private readonly window = SendWindow.create(WINDOW_MS);
    private perSecond: number | undefined;
    /** Time since which the limit has not been lowered, in ms. */
    private limitedSinceMs = Number.POSITIVE_INFINITY;
    private loggedAtMs = Number.NEGATIVE_INFINITY;

    private constructor(private readonly events: EventLog) {}

    /** Creates a monitor that has seen no requests. */
    static create(events: EventLog): EndpointMonitor {
        return new EndpointMonitor(events);
    }

    /** Records that the limit of the endpoint has changed. */
    recordLimit(endpoint: EndpointReport | undefined, perSecond: number | undefined, nowMs: number): void {
        if (perSecond !== undefined && perSecond < (this.perSecond ?? Number.POSITIVE_INFINITY)) {
            this.limitedSinceMs = nowMs;
        }
        this.perSecond = perSecond;
        this.events.record(EventNumber.EndpointLimited, {
            endpoint: endpoint?.id,
            service: endpoint?.service,
            perSecond,
            sent: this.window.count(nowMs),
            windowMs: WINDOW_MS,
        });
    }

    /** Records that a request is sent to the endpoint; logs an excess at most once in each window. */
    recordSend(endpoint: EndpointReport | undefined, reason: SendReason, nowMs: number): void {
        this.window.record(reason, nowMs);
        const { perSecond } = this;
        const hasGrace = nowMs - this.limitedSinceMs < WINDOW_MS || nowMs - this.loggedAtMs < WINDOW_MS;
        if (perSecond === undefined || hasGrace) {
            return;
        }
        const allowed = EndpointLimiter.maxRequests(perSecond, WINDOW_MS);
        if (this.window.count(nowMs) > allowed) {
            this.loggedAtMs = nowMs;
            this.events.record(EventNumber.LimitExceeded, {
                endpoint: endpoint?.id,
                service: endpoint?.service,
                perSecond,
                sent: this.window.count(nowMs),
                allowed,
                windowMs: WINDOW_MS,
                reasons: Object.entries(this.window.countByReason(nowMs)).map(([reason, count]) => `${reason} ${count}`),
            });
        }
    }
}
