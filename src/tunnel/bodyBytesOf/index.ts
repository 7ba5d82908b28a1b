import { WorkOffer } from "../WorkOffer.js";

/**
 * Returns the size of the body of an offered request, whether it comes with the offer or later.
 *
 * @param offer - Offer, which may be malformed if another process has sent it.
 * @returns Size in bytes.
 * @example
 * bodyBytesOf({ body: Buffer.from("ok") }); // 2
 */
export function bodyBytesOf({ body, deferredBodyBytes }: Partial<Pick<WorkOffer, "body" | "deferredBodyBytes">>): number {
    const isDeferred = Number.isInteger(deferredBodyBytes) && Number(deferredBodyBytes) > 0;
    return isDeferred ? Number(deferredBodyBytes) : Buffer.isBuffer(body) ? body.length : 0;
}
