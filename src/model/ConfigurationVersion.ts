/** Position of a configuration in the accepted history. */
export interface ConfigurationVersion {
    /** Term of the control leader that accepted it; 0 before the first. */
    readonly term: number;
    /** Number of the accepted change, from 1; 0 before the first. */
    readonly version: number;
    /** Number of the last accepted manifest, from 1; 0 before the first. Changes by control itself do not raise it. */
    readonly manifestVersion: number;
}
