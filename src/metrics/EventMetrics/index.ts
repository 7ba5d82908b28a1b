import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { EventNumber } from "../../logs/EventNumber.js";
import { LogFields } from "../../logs/LogFields.js";
import { RefusalCause } from "../../model/RefusalCause.js";
import { GaugeSource } from "../GaugeSource.js";

/** Number of services, and of organisations, with their own series; all others share the label `other`. */
const MAX_NAMES = 64;
const OTHER_NAMES = "other";
/** Lowest status that counts as a failure of the endpoint. */
const MIN_FAILED_STATUS = 500;
const MS_PER_SECOND = 1_000;
/** Upper bounds of the latency buckets, in s: about two per doubling, up to the longest deadlines. */
const LATENCY_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 1.6, 2.4, 3.2, 4.8, 6.4, 12.8];
/** The same by organisation: fewer, since there are more series. */
const ORGANISATION_BUCKETS_S = [0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];

/** Derives Prometheus metrics from log events. The number of series is bounded. */
export class EventMetrics {
    private readonly registry = new Registry();
    private readonly services = new Set<string>();
    private readonly organisations = new Set<string>();
    private readonly events: Counter<"event">;
    private readonly requests: Counter<"service" | "outcome">;
    private readonly refusals: Counter<"cause">;
    private readonly quotaRefusals: Counter<"organisation">;
    private readonly latency: Histogram<"service" | "outcome">;
    private readonly organisationLatency: Histogram<"organisation" | "outcome">;
    private readonly displacements: Counter<"cause">;

    private constructor() {
        const registers = [this.registry];
        this.events = new Counter({ name: "gypsumpulley_events_total", help: "Events by name", labelNames: ["event"], registers });
        this.requests = new Counter({
            name: "gypsumpulley_requests_total",
            help: "Requests of callers on this VM by service and outcome",
            labelNames: ["service", "outcome"],
            registers,
        });
        this.refusals = new Counter({ name: "gypsumpulley_refusals_total", help: "Refused requests by cause", labelNames: ["cause"], registers });
        this.quotaRefusals = new Counter({
            name: "gypsumpulley_quota_refusals_total",
            help: "Requests above the quota of their organisation",
            labelNames: ["organisation"],
            registers,
        });
        this.latency = new Histogram({
            name: "gypsumpulley_request_seconds",
            help: "Time from a request's arrival to its answer",
            labelNames: ["service", "outcome"],
            buckets: LATENCY_BUCKETS_S,
            registers,
        });
        this.organisationLatency = new Histogram({
            name: "gypsumpulley_organisation_request_seconds",
            help: "Time from the arrival of a request of an organisation to its answer or refusal",
            labelNames: ["organisation", "outcome"],
            buckets: ORGANISATION_BUCKETS_S,
            registers,
        });
        this.displacements = new Counter({
            name: "gypsumpulley_displaced_total",
            help: "Waiting requests of organisations that the gate of this VM refused, by cause",
            labelNames: ["cause"],
            registers,
        });
    }

    /** Creates metrics with all counters at zero. */
    static create(): EventMetrics {
        return new EventMetrics();
    }

    /** Media type of the rendered metrics. */
    get contentType(): string {
        return this.registry.contentType;
    }

    /** Updates the metrics with an event. */
    observe(event: EventNumber, fields: LogFields): void {
        this.events.inc({ event: EventNumber[event] });
        switch (event) {
            case EventNumber.RequestAnswered:
                this.countRequest(fields, Number(fields.status) < MIN_FAILED_STATUS ? "answered" : "failed-by-endpoint");
                return;
            case EventNumber.RequestFailed:
                this.countRequest(fields, String(fields.failure));
                return;
            case EventNumber.RequestRefused:
                this.refusals.inc({ cause: String(fields.cause) });
                if (fields.cause === RefusalCause.Quota) {
                    this.quotaRefusals.inc({ organisation: labelOf(String(fields.organisation), this.organisations) });
                }
                this.countForOrganisation(fields, "refused");
                return;
            case EventNumber.RequestDisplaced:
                this.displacements.inc({ cause: String(fields.cause) });
                return;
            default:
        }
    }

    /** Adds a gauge whose value is read each time the metrics are rendered. */
    addGauge({ name, help, read }: GaugeSource): void {
        const gauge: Gauge = new Gauge({
            name: `gypsumpulley_${name}`,
            help,
            registers: [this.registry],
            collect: (): void => gauge.set(read()),
        });
    }

    /** Renders all metrics in the Prometheus text format. */
    render(): Promise<string> {
        return this.registry.metrics();
    }

    private countRequest(fields: LogFields, outcome: string): void {
        const labels = { service: labelOf(String(fields.service), this.services), outcome };
        this.requests.inc(labels);
        this.latency.observe(labels, Number(fields.tookMs) / MS_PER_SECOND);
        this.countForOrganisation(fields, outcome === "answered" ? outcome : "failed");
    }

    private countForOrganisation({ organisation, tookMs }: LogFields, outcome: string): void {
        if (typeof organisation === "string") {
            const labels = { organisation: labelOf(organisation, this.organisations), outcome };
            this.organisationLatency.observe(labels, Number(tookMs) / MS_PER_SECOND);
        }
    }
}

/** Returns the label of a name: its own for the first ones, for all others the same. */
function labelOf(name: string, named: Set<string>): string {
    if (named.size < MAX_NAMES) {
        named.add(name);
    }
    return named.has(name) ? name : OTHER_NAMES;
}
