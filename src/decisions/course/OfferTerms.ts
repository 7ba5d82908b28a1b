/** Terms on which a gate is offered a request. */
export interface OfferTerms {
    /** Longest expected wait for a slot with which it is let in; 0 if it wants a free slot or none. */
    readonly maxQueueMs: number;
    /** True if it may be spent on an ejected endpoint. */
    readonly isTrial: boolean;
    /** True if it takes an ejected endpoint when there is no other. */
    readonly isLastResort: boolean;
    /** True if the request has reached an endpoint before. */
    readonly isRepeat: boolean;
}
