import type { Socket } from "node:net";
import { WebSocket } from "ws";
import { nowMs } from "../../clock/nowMs/index.js";
import { Holder } from "../../memory/Holder.js";
import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { estimateDecodedBytes } from "../estimateDecodedBytes/index.js";
import { RefusalListener } from "../../logs/RefusalListener.js";
import { SocketLimits } from "../SocketLimits.js";

/** Memory that a piece of a frame takes besides its bytes, in bytes: the buffer, its backing store and its place in a list. */
const PIECE_OVERHEAD_BYTES = 512;

interface Usage {
    /** Address of the peer. */
    readonly peer: string;
    /** Size of what was received since the last whole frame. */
    receivingBytes: number;
    /** Size of what was sent and is not yet taken by the operating system. */
    sendingBytes: number;
    /** Time at which the operating system last took some of it, or it began, in ms. */
    unreadSinceMs: number;
}

/**
 * Bounds what the WebSockets of a port hold in memory, for each peer and for all together: pieces of frames that are not whole,
 * and frames that the peer does not read. A peer that exceeds its bound is closed; if all together exceed theirs, the one that
 * holds most is.
 */
export class SocketBudget {
    private readonly usages = new Map<WebSocket, Usage>();
    private totalReceivingBytes = 0;
    private totalSendingBytes = 0;

    private constructor(
        private readonly name: string,
        private readonly limits: SocketLimits,
        private readonly recordRefusal: RefusalListener,
        private readonly onGrowth: () => void,
    ) {}

    /**
     * Creates a budget that nothing is held of.
     *
     * @param name - What it bounds, such as `links`.
     * @param limits - Limits of each peer and of all.
     * @param recordRefusal - Called each time a peer is closed or a frame refused because of a limit.
     * @param onGrowth - Called each time more is held for a peer.
     */
    static create(name: string, limits: SocketLimits, recordRefusal: RefusalListener, onGrowth: () => void = () => undefined): SocketBudget {
        return new SocketBudget(name, limits, recordRefusal, onGrowth);
    }

    /** Maximum size of a frame, in bytes. */
    get maxFrameBytes(): number {
        return this.limits.maxFrameBytes;
    }

    /** Size of the frames that peers have not read, in bytes. */
    get bufferedBytes(): number {
        return this.totalSendingBytes;
    }

    /** WebSockets whose peers do not read. */
    get unreadHolders(): readonly Holder[] {
        return [...this.usages].filter(([, { sendingBytes }]) => sendingBytes > 0).map(([webSocket, { sendingBytes, unreadSinceMs }]) => ({
            heldBytes: sendingBytes,
            unreadSinceMs,
            close: () => this.refuse(webSocket, "unread bytes, beside all that the process holds", sendingBytes, sendingBytes),
        }));
    }

    /** Size of what peers have sent of frames that are not whole, in bytes. */
    get receivingBytes(): number {
        return this.totalReceivingBytes;
    }

    /**
     * Starts to count what an open WebSocket holds.
     *
     * @param webSocket - WebSocket that has just opened.
     * @param networkSocket - Its connection.
     */
    watch(webSocket: WebSocket, networkSocket: Socket): void {
        const usage: Usage = { peer: networkSocket.remoteAddress ?? "unknown", receivingBytes: 0, sendingBytes: 0, unreadSinceMs: 0 };
        this.usages.set(webSocket, usage);
        networkSocket.on("data", (piece: Buffer) => this.recordReceived(webSocket, usage, piece.length + PIECE_OVERHEAD_BYTES));
        webSocket.on("message", () => {
            this.totalReceivingBytes -= usage.receivingBytes;
            usage.receivingBytes = 0;
        });
        webSocket.once("close", () => this.release(webSocket, usage));
    }

    /**
     * Starts to count what a connecting WebSocket holds once it is open.
     *
     * @param webSocket - WebSocket of a client.
     */
    watchOnceOpen(webSocket: WebSocket): void {
        webSocket.once("upgrade", ({ socket }) => {
            // Earlier, the first bytes would go to this listener alone.
            webSocket.once("open", () => this.watch(webSocket, socket));
        });
    }

    /** Sends a frame on a watched WebSocket. If its peer does not read, drops the frame or closes the WebSocket, as the limits say. */
    send(webSocket: WebSocket, data: Buffer): void {
        const usage = this.usages.get(webSocket);
        if (usage === undefined) {
            return;
        }
        const sizeBytes = data.length + PIECE_OVERHEAD_BYTES;
        const { dropsUnread, maxSendingBytes, maxSendingTotalBytes } = this.limits;
        const isFull = usage.sendingBytes > 0 && usage.sendingBytes + sizeBytes > maxSendingBytes;
        if (dropsUnread && (isFull || this.totalSendingBytes + sizeBytes > maxSendingTotalBytes)) {
            this.recordRefusal(`${this.name}: unread bytes`, this.totalSendingBytes, maxSendingTotalBytes, usage.peer);
            return;
        }
        if (isFull) {
            this.refuse(webSocket, "unread bytes of a peer", usage.sendingBytes, maxSendingBytes);
            return;
        }
        if (usage.sendingBytes === 0) {
            usage.unreadSinceMs = nowMs();
        }
        usage.sendingBytes += sizeBytes;
        this.totalSendingBytes += sizeBytes;
        webSocket.send(data, () => {
            if (this.usages.get(webSocket) === usage) {
                usage.sendingBytes -= sizeBytes;
                usage.unreadSinceMs = nowMs();
                this.totalSendingBytes -= sizeBytes;
            }
        });
        if (this.totalSendingBytes > maxSendingTotalBytes) {
            this.refuseLargest(({ sendingBytes }) => sendingBytes, "unread bytes", this.totalSendingBytes, maxSendingTotalBytes);
        }
        this.onGrowth();
    }

    /**
     * Checks before a frame is decoded that it does not take much more memory than its bytes.
     *
     * @param data - Frame in MessagePack.
     * @throws FleetError if it takes more than the limit.
     */
    checkDecodedSize(data: Buffer): void {
        const sizeBytes = estimateDecodedBytes(data);
        if (sizeBytes > this.limits.maxDecodedBytes) {
            this.recordRefusal(`${this.name}: bytes of a decoded frame`, sizeBytes, this.limits.maxDecodedBytes);
            throw FleetError.create({ step: Step.Link, peer: this.name }, `a frame of ${data.length} bytes would take ${sizeBytes} bytes`);
        }
    }

    private recordReceived(webSocket: WebSocket, usage: Usage, sizeBytes: number): void {
        if (this.usages.get(webSocket) !== usage) {
            return;
        }
        usage.receivingBytes += sizeBytes;
        this.totalReceivingBytes += sizeBytes;
        if (usage.receivingBytes > this.limits.maxReceivingBytes) {
            this.refuse(webSocket, "unfinished bytes of a peer", usage.receivingBytes, this.limits.maxReceivingBytes);
        }
        else if (this.totalReceivingBytes > this.limits.maxReceivingTotalBytes) {
            const { totalReceivingBytes, limits } = this;
            this.refuseLargest(({ receivingBytes }) => receivingBytes, "unfinished bytes", totalReceivingBytes, limits.maxReceivingTotalBytes);
        }
    }

    private refuseLargest(sizeOf: (usage: Usage) => number, holder: string, held: number, limit: number): void {
        const [largest] = [...this.usages].reduce((first, second) => sizeOf(second[1]) > sizeOf(first[1]) ? second : first);
        this.refuse(largest, holder, held, limit);
    }

    private refuse(webSocket: WebSocket, holder: string, held: number, limit: number): void {
        const usage = this.usages.get(webSocket);
        if (usage !== undefined) {
            this.release(webSocket, usage);
        }
        webSocket.terminate();
        this.recordRefusal(`${this.name}: ${holder}`, held, limit, usage?.peer);
    }

    private release(webSocket: WebSocket, usage: Usage): void {
        if (this.usages.get(webSocket) === usage) {
            this.usages.delete(webSocket);
            this.totalReceivingBytes -= usage.receivingBytes;
            this.totalSendingBytes -= usage.sendingBytes;
        }
    }
}
