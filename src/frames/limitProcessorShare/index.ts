import type { Socket } from "node:net";
import type { WebSocket } from "ws";
import { nowMs } from "../../clock/nowMs/index.js";

/** Processor time that a peer may take at once, beyond its share, in ms; several times that of the largest usual message. */
const BURST_MS = 200;
/** Maximum time for which nothing is read from a peer, in ms; less than the timeouts of heartbeats and elections. */
const MAX_PAUSE_MS = 400;

/**
 * Limits the share of time that a process spends on what one peer sends, so that it still serves the others. Beyond it, nothing
 * is read from the peer for a moment.
 *
 * @param webSocket - WebSocket that has just opened.
 * @param networkSocket - Its connection.
 * @param maxShare - Maximum share, from 0 to 1.
 * @example
 * limitProcessorShare(webSocket, request.socket, 0.5);
 */
export function limitProcessorShare(webSocket: WebSocket, networkSocket: Socket, maxShare: number): void {
    let startedAtMs = 0;
    let updatedAtMs = nowMs();
    let busyMs = 0;
    networkSocket.prependListener("data", () => {
        startedAtMs = nowMs();
    });
    networkSocket.on("data", () => {
        const atMs = nowMs();
        busyMs = Math.max(0, busyMs - (atMs - updatedAtMs) * maxShare) + atMs - startedAtMs;
        updatedAtMs = atMs;
        if (busyMs > BURST_MS && !webSocket.isPaused) {
            webSocket.pause();
            setTimeout(() => webSocket.resume(), Math.min(MAX_PAUSE_MS, busyMs / maxShare));
        }
    });
}
