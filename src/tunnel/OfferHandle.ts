/** Handle of an offer that a gate has not finished. */
export interface OfferHandle {
    /** Cancels the offer. No further reply follows. */
    cancel(): void;
    /**
     * Confirms an offer that was granted a slot, so that the gate sends it to the endpoint.
     *
     * @param body - Body of the request if it was not in the offer.
     */
    confirm(body?: Buffer): void;
}
