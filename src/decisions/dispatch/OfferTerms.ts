/** Conditions under which a gate may admit an offered request. */
export interface OfferTerms {
    /** Longest expected wait for a slot, in ms; with 0 the request is admitted only to a free slot. */
    readonly maxQueueMs: number;
    /** True for a probe, which may run on a doubted or ejected endpoint. */
    readonly isTrial: boolean;
    /** True if the request may run on an endpoint of any grade, as no better endpoint is left. */
    readonly isLastResort: boolean;
    /** True for a retry or hedge: the request has reached an endpoint before. */
    readonly isRepeat: boolean;
}
