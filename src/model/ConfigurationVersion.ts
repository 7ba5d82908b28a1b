/** Position of a configuration in the accepted history. */
export interface ConfigurationVersion {
    /** Term of the control leader that accepted it; 0 before the first. */
    readonly term: number;
    /** Number of the accepted change, starting at 1; 0 before the first. */
    readonly version: number;
    /** Number of the last accepted manifest, starting at 1; 0 before the first. Changes made by control itself do not increase it. */
    readonly manifestVersion: number;
}
