import type { WebSocket } from "ws";
import { nowMs } from "../../clock/nowMs/index.js";
import { TokenBucket } from "../../decisions/limits/TokenBucket/index.js";

/** Rate of messages from one peer. */
interface MessageRate {
    /** Messages per second that are read in the long run. */
    readonly perSecond: number;
    /** Messages that are read at once after a pause of the peer. */
    readonly burst: number;
}

/**
 * Limits the rate at which messages of one peer are read, since each one takes processor time, however small it is. Beyond the
 * rate, nothing is read from the peer for a moment; no message is lost.
 *
 * @param webSocket - WebSocket of the peer.
 * @param rate - Maximum rate.
 * @param onLimit - Called each time that reading pauses.
 * @example
 * limitMessageRate(webSocket, { perSecond: 2_000, burst: 4_000 }, report);
 */
export function limitMessageRate(webSocket: WebSocket, { perSecond, burst }: MessageRate, onLimit: () => void): void {
    const bucket = TokenBucket.create(perSecond, burst, nowMs());
    webSocket.on("message", () => {
        const atMs = nowMs();
        bucket.takeAhead(atMs);
        const waitMs = bucket.waitMs(1, atMs);
        if (waitMs > 0 && !webSocket.isPaused) {
            webSocket.pause();
            setTimeout(() => webSocket.resume(), waitMs);
            onLimit();
        }
    });
}
