/** A gauge whose value is read each time the metrics are rendered. */
export interface GaugeSource {
    /** Metric name without the prefix `gypsumpulley_`. */
    readonly name: string;
    /** Help text of the metric. */
    readonly help: string;
    /** Returns the current value. */
    readonly read: () => number;
}
