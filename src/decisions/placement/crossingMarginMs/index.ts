import { RequestKind } from "../../../model/RequestKind.js";

/** Bytes up to which a request goes where it is answered soonest: about what its offer and its replies take in any case. */
const FREE_BYTES = 2_048;
/** Bytes for which a caller waits 1 ms longer within its latency target: a request of 26 kB waits as long as a usual one runs. */
const BYTES_PER_MS = 40;
/** Maximum margin, in ms; longer waits would come near the latency targets, which reports of load are too old to judge. */
const MAX_MARGIN_MS = 1_500;
/** Margin of a download while the size of its responses is not known, in ms. */
const DOWNLOAD_MARGIN_MS = 600;

/**
 * Decides by how much earlier a request must be expected to finish in another failure domain to be sent there, although it
 * would meet its latency target in its own. Bytes between failure domains are the largest cost of deployments with large
 * bodies, while an answer within the target is worth the same whenever it comes.
 *
 * Designed for uploads of 60 kB and responses of some 10 kB between three failure domains with unequal numbers of endpoints.
 *
 * @param transferBytes - Bytes that would cross: the request body and the usual response body.
 * @param requestKind - A download counts as large even if its response size is not known yet.
 * @returns The margin, in ms.
 * @example
 * crossingMarginMs(60_000, RequestKind.Once); // 1449
 */
export function crossingMarginMs(transferBytes: number, requestKind: RequestKind): number {
    const marginMs = Math.min(MAX_MARGIN_MS, Math.max(0, Math.round((transferBytes - FREE_BYTES) / BYTES_PER_MS)));
    return requestKind === RequestKind.Download ? Math.max(DOWNLOAD_MARGIN_MS, marginMs) : marginMs;
}
