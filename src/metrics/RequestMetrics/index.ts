import { StatsD } from "hot-shots";
import { build, type Histogram } from "hdr-histogram-js";
import { Outcome } from "../../model/Outcome.js";
import { ServiceClass } from "../../model/ServiceClass.js";
import { LatencySummary } from "../LatencySummary.js";

/** Number of customer and class pairs with their own histogram; all others share one histogram per class. */
const MAX_SERIES = 512;
const OTHER_CUSTOMERS = "other";
/** Highest latency that a histogram can record, in ms. */
const MAX_LATENCY_MS = 3_600_000;
const MICROSECONDS_PER_MS = 1_000;

/** Counts requests by outcome and keeps a latency histogram per customer and class, in bounded memory. */
export class RequestMetrics {
    private readonly histograms = new Map<string, Histogram>();
    private readonly outcomes = new Map<Outcome, number>();

    private constructor(private readonly statsd: StatsD | undefined) {}

    /**
     * Creates metrics.
     *
     * @param host - Host of the StatsD server, or undefined to send nothing.
     * @param port - Port of the StatsD server.
     */
    static create(host: string | undefined, port: number | undefined): RequestMetrics {
        return new RequestMetrics(host === undefined
            ? undefined
            : new StatsD({ host, ...(port === undefined ? {} : { port }), prefix: "gypsumpulley.", errorHandler: () => undefined }));
    }

    /** Records a completed request. */
    record(customer: string, serviceClass: ServiceClass, outcome: Outcome, durationMs: number): void {
        this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1);
        this.getHistogram(customer, serviceClass).recordValue(Math.max(1, Math.round(durationMs * MICROSECONDS_PER_MS)));
        this.statsd?.timing("request", durationMs, { class: serviceClass, outcome });
    }

    /** Returns the number of completed requests by outcome. */
    getOutcomeCounts(): Readonly<Record<string, number>> {
        return Object.fromEntries(this.outcomes);
    }

    /** Returns the latency percentiles of each customer and class. */
    getLatencySummaries(): readonly LatencySummary[] {
        return [...this.histograms].map(([series, histogram]) => ({
            series,
            requests: histogram.totalCount,
            p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
            p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
            maxMs: histogram.maxValue / MICROSECONDS_PER_MS,
        }));
    }

    /** Closes the connection to the StatsD server. */
    close(): void {
        this.statsd?.close(() => undefined);
    }

    private getHistogram(customer: string, serviceClass: ServiceClass): Histogram {
        const ownSeries = `${customer}/${serviceClass}`;
        const series = this.histograms.has(ownSeries) || this.histograms.size < MAX_SERIES
            ? ownSeries
            : `${OTHER_CUSTOMERS}/${serviceClass}`;
        const existing = this.histograms.get(series);
        if (existing !== undefined) {
            return existing;
        }
        const created = build({
            lowestDiscernibleValue: 1,
            highestTrackableValue: MAX_LATENCY_MS * MICROSECONDS_PER_MS,
            numberOfSignificantValueDigits: 2,
            useWebAssembly: false,
        });
        this.histograms.set(series, created);
        return created;
    }
}
