/** A value that is read whenever the metrics are. */
export interface GaugeSource {
    /** Name without the program's prefix. */
    readonly name: string;
    /** What it says. */
    readonly help: string;
    readonly read: () => number;
}
