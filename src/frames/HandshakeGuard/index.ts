import type { Socket } from "node:net";
import { WebSocket } from "ws";
import { RefusalListener } from "../../logs/RefusalListener.js";

/** Time within which a peer must prove that it belongs to the fleet, in ms: several round trips, with margin for a busy process. */
const HANDSHAKE_TIMEOUT_MS = 3_000;
/** Maximum number of bytes that a peer may send before; a handshake has a few hundred. */
const MAX_HANDSHAKE_BYTES = 16 * 1_024;
/** Maximum number of WebSockets before the end of their handshake; more than the processes of a large fleet. */
const MAX_PENDING_HANDSHAKES = 4_096;

/** Bounds what WebSockets may send, how long they may take and how many they may be before their peers have proved who they are. */
export class HandshakeGuard {
    private readonly pending = new Set<WebSocket>();

    private constructor(private readonly recordRefusal: RefusalListener) {}

    /**
     * Creates a guard without WebSockets.
     *
     * @param recordRefusal - Called each time a WebSocket is closed because of a limit.
     */
    static create(recordRefusal: RefusalListener): HandshakeGuard {
        return new HandshakeGuard(recordRefusal);
    }

    /** Number of WebSockets before the end of their handshake. */
    get pendingCount(): number {
        return this.pending.size;
    }

    /**
     * Starts to guard an open WebSocket.
     *
     * @param webSocket - WebSocket that has just opened.
     * @param networkSocket - Its connection.
     * @returns Ends the guard; call it once the handshake has succeeded.
     */
    watch(webSocket: WebSocket, networkSocket: Socket): () => void {
        let receivedBytes = 0;
        const handleData = (piece: Buffer): void => {
            receivedBytes += piece.length;
            if (receivedBytes > MAX_HANDSHAKE_BYTES) {
                this.refuse(webSocket, "bytes before the end of a handshake", receivedBytes, MAX_HANDSHAKE_BYTES, networkSocket);
            }
        };
        const timer = setTimeout(
            () => this.refuse(webSocket, "milliseconds of a handshake", HANDSHAKE_TIMEOUT_MS, HANDSHAKE_TIMEOUT_MS, networkSocket),
            HANDSHAKE_TIMEOUT_MS,
        );
        const release = (): void => {
            clearTimeout(timer);
            networkSocket.off("data", handleData);
            this.pending.delete(webSocket);
        };
        networkSocket.on("data", handleData);
        webSocket.once("close", release);
        this.pending.add(webSocket);
        const [oldest] = this.pending;
        if (this.pending.size > MAX_PENDING_HANDSHAKES && oldest !== undefined) {
            this.refuse(oldest, "handshakes in progress", this.pending.size, MAX_PENDING_HANDSHAKES, networkSocket);
        }
        return release;
    }

    private refuse(webSocket: WebSocket, holder: string, held: number, limit: number, { remoteAddress }: Socket): void {
        this.pending.delete(webSocket);
        webSocket.terminate();
        this.recordRefusal(holder, held, limit, remoteAddress);
    }
}
