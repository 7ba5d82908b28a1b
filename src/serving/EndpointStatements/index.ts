import { nowMs } from "../../clock/nowMs/index.js";
import { EndpointPhase } from "../../decisions/fleet/EndpointPhase.js";
import { EndpointReport } from "../../decisions/fleet/EndpointReport.js";
import { EndpointRun } from "../../decisions/fleet/EndpointRun.js";
import { isSameRun } from "../../decisions/fleet/isSameRun/index.js";
import { EndpointLimiter } from "../../decisions/limits/EndpointLimiter/index.js";
import { SendReason } from "../../decisions/limits/SendReason.js";
import { HeaderList } from "../../model/HeaderList.js";
import { EndpointMonitor } from "../EndpointMonitor/index.js";
import { HeaderWatch } from "../HeaderWatch/index.js";
import { ServingGateOptions } from "../ServingGateOptions.js";

type EndpointStatementsOptions = Pick<ServingGateOptions, "dialect" | "events" | "onLeaving" | "onLimitChange">;

/** Applies what the endpoint of a gate states about itself in its responses: its limit, and that it leaves. */
export class EndpointStatements {
    private readonly headerWatch: HeaderWatch;
    private currentLimiter = EndpointLimiter.create();
    private monitor: EndpointMonitor;
    private endpoint: EndpointReport | undefined;
    /** Limit that an earlier run of this proxy knew. */
    private formerLimit: { readonly run: EndpointRun; readonly perSecond: number } | undefined;

    private constructor(private readonly options: EndpointStatementsOptions) {
        this.monitor = EndpointMonitor.create(options.events);
        this.headerWatch = HeaderWatch.create((name) => options.dialect.isKnownResponseHeader(name), options.events);
    }

    /** Creates the state of an endpoint that has stated nothing. */
    static create(options: EndpointStatementsOptions): EndpointStatements {
        return new EndpointStatements(options);
    }

    /** Limiter of the current run of the endpoint. */
    get limiter(): EndpointLimiter {
        return this.currentLimiter;
    }

    /** Sets the latest report of the endpoint. A new run of it has stated nothing. */
    setEndpoint(endpoint: EndpointReport): void {
        if (this.endpoint === undefined || !isSameRun(this.endpoint, endpoint)) {
            this.currentLimiter = EndpointLimiter.create();
            this.monitor = EndpointMonitor.create(this.options.events);
        }
        this.endpoint = endpoint;
        this.adoptFormerLimit();
    }

    /** Records that a request is sent to the endpoint. */
    recordSend(reason: SendReason, atMs: number): void {
        this.monitor.recordSend(this.endpoint, reason, atMs);
    }

    /**
     * Applies what the endpoint states in a response, unless another run has begun since the request.
     *
     * @param run - Run of the endpoint that the request was sent to.
     * @param headers - Header fields of the response.
     * @param sentAtMs - Time at which the request was sent.
     * @param atMs - Current time.
     */
    applyResponse(run: EndpointRun | undefined, headers: HeaderList, sentAtMs: number, atMs: number): void {
        this.headerWatch.observe(headers);
        if (run === undefined || this.endpoint === undefined || !isSameRun(run, this.endpoint)) {
            return;
        }
        const { limit, isLeaving } = this.options.dialect.readStatement(headers);
        if (this.currentLimiter.applyResponse(limit, sentAtMs, atMs)) {
            this.handleLimitChange(atMs);
        }
        if (isLeaving && this.endpoint.phase === EndpointPhase.Ready) {
            this.options.onLeaving(run);
        }
    }

    /** Adopts a limit that the endpoint has told an entry, if this gate has restarted since. */
    adoptLimit(perSecond: number, atMs: number): void {
        if (this.currentLimiter.adopt(perSecond, atMs)) {
            this.handleLimitChange(atMs);
        }
    }

    /**
     * Restores the limit that an earlier run of this proxy knew, until the endpoint's next response.
     *
     * @param run - Run of the endpoint that named the limit.
     * @param perSecond - The limit.
     */
    restoreLimit(run: EndpointRun, perSecond: number): void {
        this.formerLimit = { run, perSecond };
        this.adoptFormerLimit();
    }

    private adoptFormerLimit(): void {
        if (this.formerLimit !== undefined && this.endpoint !== undefined && isSameRun(this.formerLimit.run, this.endpoint)) {
            this.adoptLimit(this.formerLimit.perSecond, nowMs());
        }
    }

    private handleLimitChange(atMs: number): void {
        const { perSecond } = this.currentLimiter;
        this.monitor.recordLimit(this.endpoint, perSecond, atMs);
        this.options.onLimitChange(perSecond);
    }
}
