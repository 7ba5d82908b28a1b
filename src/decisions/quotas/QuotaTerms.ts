/** How far the quota of an organisation may be exceeded while processes fail. */
export interface QuotaTerms {
    /** Window in which requests are counted, in ms. */
    readonly windowMs: number;
    /** Share of the quota by which it may be exceeded. */
    readonly overshoot: number;
    /** Requests in a window by which it may be exceeded beyond that. */
    readonly slack: number;
}
