import { BodySink } from "../../backend/BodySink.js";
import { BodyStream } from "../../backend/BodyStream.js";
import { BODY_WINDOW_BYTES } from "../../backend/bodyWindow.js";

/** Bytes that are granted in one frame: a quarter of the window, so that the gate can go on meanwhile. */
const GRANT_BYTES = BODY_WINDOW_BYTES / 4;

interface TunnelBodyCallbacks {
    /** Called with the bytes that the gate may send further. */
    readonly onGrant: (bytes: number) => void;
    /** Returns whether this process can hold more than the window for readers that are slow. */
    readonly hasRoom: () => boolean;
    /** Called if the reader wants no more. */
    readonly onCancel: () => void;
}

/** Body of a response at its entry, of which the gate sends the pieces over a tunnel. */
export class TunnelBody implements BodyStream {
    private sink: BodySink | undefined;
    /** Pieces that came before the start. */
    private early: Buffer[] = [];
    private end: { readonly problem: string | undefined } | undefined;
    private unreadBytes = 0;
    /** Bytes that the gate may still send. */
    private creditBytes = BODY_WINDOW_BYTES;
    private ungrantedBytes = 0;
    /** Bytes that were granted before the reader has taken as many. */
    private aheadBytes = 0;
    private isHurried = false;
    private isDone = false;

    private constructor(private readonly callbacks: TunnelBodyCallbacks) {}

    /**
     * Creates a body of which nothing has been received.
     *
     * @param callbacks - Functions of its tunnel.
     */
    static create(callbacks: TunnelBodyCallbacks): TunnelBody {
        return new TunnelBody(callbacks);
    }

    /** True if the reader has taken all that has come, so that the gate is to send the next piece. */
    get isAwaitingData(): boolean {
        return !this.isDone && this.unreadBytes === 0;
    }

    /** Handles a piece. One beyond the credit ends the body, since a gate that ignores it could fill the memory. */
    handleChunk(chunk: Buffer): void {
        if (this.isDone) {
            return;
        }
        this.unreadBytes += chunk.length;
        this.creditBytes -= chunk.length;
        if (this.creditBytes < 0) {
            this.callbacks.onCancel();
            this.handleEnd("the gate has sent more than its credit");
            return;
        }
        if (this.isHurried) {
            this.grantAhead(chunk.length);
        }
        if (this.sink === undefined) {
            this.early.push(chunk);
        }
        else {
            this.sink.handleChunk(chunk);
        }
    }

    /** Takes the rest as fast as the gate sends it, because the gate is about to stop. It is held for the reader as far as there is room. */
    hurry(): void {
        if (!this.isHurried) {
            this.isHurried = true;
            this.grantAhead(this.unreadBytes);
        }
    }

    /** Handles the end of the body, with a problem if it is not whole. */
    handleEnd(problem: string | undefined): void {
        if (this.isDone) {
            return;
        }
        this.isDone = true;
        this.end = { problem };
        this.sink?.handleEnd(problem);
    }

    start(sink: BodySink): void {
        const early = this.early.splice(0);
        this.sink = sink;
        early.forEach((chunk) => sink.handleChunk(chunk));
        if (this.end !== undefined) {
            sink.handleEnd(this.end.problem);
        }
    }

    grant(bytes: number): void {
        const grantedBytes = Math.min(this.aheadBytes, bytes);
        this.unreadBytes -= bytes;
        this.aheadBytes -= grantedBytes;
        this.addGrant(bytes - grantedBytes);
    }

    cancel(): void {
        if (!this.isDone) {
            this.isDone = true;
            this.early = [];
            this.callbacks.onCancel();
        }
    }

    private grantAhead(bytes: number): void {
        if (this.callbacks.hasRoom()) {
            this.aheadBytes += bytes;
            this.addGrant(bytes);
        }
    }

    private addGrant(bytes: number): void {
        this.ungrantedBytes += bytes;
        if (this.ungrantedBytes >= GRANT_BYTES && !this.isDone) {
            this.creditBytes += this.ungrantedBytes;
            this.callbacks.onGrant(this.ungrantedBytes);
            this.ungrantedBytes = 0;
        }
    }
}
