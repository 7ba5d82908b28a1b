import { nowMs } from "../../clock/nowMs/index.js";
import { BodyBuffer } from "../../http/BodyBuffer/index.js";
import { BodySink } from "../BodySink.js";
import { BodyStream } from "../BodyStream.js";
import { BODY_WINDOW_BYTES } from "../bodyWindow.js";

/** Maximum size of a piece, in bytes. */
const MAX_CHUNK_BYTES = 64 * 1_024;
/** Size from which on a piece is held and passed on without a copy, in bytes; smaller ones are joined, and would each hold a whole read. */
const MIN_DIRECT_BYTES = 16 * 1_024;
const EMPTY = Buffer.alloc(0);

interface CreditedBodyCallbacks {
    /** Called when bytes wait for credit, so that the source stops reading. */
    readonly onFull: () => void;
    /** Called when no more bytes wait. */
    readonly onRoom: () => void;
    /** Called with the size of each piece that was passed on or dropped. */
    readonly onTaken: (bytes: number) => void;
    /** Called if the reader wants no more. */
    readonly onCancel: () => void;
}

/** Body of a response that is still being received. Passes on what the credit of its reader allows, and holds the rest. */
export class CreditedBody implements BodyStream {
    private readonly received = BodyBuffer.create();
    /** Bytes that were taken out of `received` and not passed on yet. */
    private rest: Buffer = EMPTY;
    private sink: BodySink | undefined;
    private creditBytes = BODY_WINDOW_BYTES;
    private fullSinceMs: number | undefined;
    private isWhole = false;
    private isDone = false;
    private settledListener: () => void = () => undefined;

    private constructor(private readonly callbacks: CreditedBodyCallbacks) {}

    /**
     * Creates a body of which nothing has been received.
     *
     * @param callbacks - Functions of its source.
     */
    static create(callbacks: CreditedBodyCallbacks): CreditedBody {
        return new CreditedBody(callbacks);
    }

    /** Time since which bytes wait for credit, in ms, or undefined if none do. */
    get waitsSinceMs(): number | undefined {
        return this.fullSinceMs;
    }

    /** Sets a listener that is called once when the body has been passed on or has broken off, or is cancelled. */
    onSettled(listener: () => void): void {
        this.settledListener = listener;
        if (this.isDone) {
            listener();
        }
    }

    /** Adds received bytes. They are passed on by `flush`, so that many small pieces become one. */
    add(piece: Buffer): void {
        if (this.isDone) {
            this.callbacks.onTaken(piece.length);
            return;
        }
        if (this.heldBytes > 0 || piece.length < MIN_DIRECT_BYTES) {
            this.received.add(piece);
            return;
        }
        this.rest = piece;
        this.flush();
    }

    /** Passes on what the credit allows. */
    flush(): void {
        const { sink } = this;
        while (sink !== undefined && !this.isDone && this.creditBytes > 0 && this.heldBytes > 0) {
            if (this.rest.length === 0) {
                this.rest = this.received.take();
            }
            const chunk = this.rest.subarray(0, Math.min(MAX_CHUNK_BYTES, this.creditBytes));
            this.rest = this.rest.subarray(chunk.length);
            this.pass(chunk);
        }
        if (this.isDone) {
            return;
        }
        if (sink !== undefined && this.isWhole && this.heldBytes === 0) {
            this.settle();
            sink.handleEnd(undefined);
            return;
        }
        this.updateFull();
    }

    /** Records that the whole body has been received. */
    end(): void {
        this.isWhole = true;
        this.flush();
    }

    /** Ends the body because the rest of it cannot be received. What is held is dropped, since the body will not be whole. */
    breakOff(problem: string): void {
        if (!this.isDone) {
            this.settle();
            this.sink?.handleEnd(problem);
        }
    }

    /** Ends the body at its source, and tells the reader that it is not whole. */
    abort(problem: string): void {
        if (!this.isDone) {
            this.breakOff(problem);
            this.callbacks.onCancel();
        }
    }

    start(sink: BodySink): void {
        this.sink = sink;
        if (this.isDone) {
            sink.handleEnd("the response broke off before it could be passed on");
            return;
        }
        this.flush();
    }

    grant(bytes: number): void {
        this.creditBytes = Math.min(BODY_WINDOW_BYTES, this.creditBytes + bytes);
        this.flush();
    }

    cancel(): void {
        if (!this.isDone) {
            this.settle();
            this.callbacks.onCancel();
        }
    }

    private get heldBytes(): number {
        return this.rest.length + this.received.lengthBytes;
    }

    private pass(chunk: Buffer): void {
        this.creditBytes -= chunk.length;
        this.callbacks.onTaken(chunk.length);
        this.sink?.handleChunk(chunk);
    }

    private updateFull(): void {
        const isFull = this.heldBytes > 0;
        if (isFull === (this.fullSinceMs !== undefined)) {
            return;
        }
        this.fullSinceMs = isFull ? nowMs() : undefined;
        if (isFull) {
            this.callbacks.onFull();
        }
        else {
            this.callbacks.onRoom();
        }
    }

    private settle(): void {
        this.isDone = true;
        this.callbacks.onTaken(this.heldBytes);
        this.received.clear();
        this.rest = EMPTY;
        this.fullSinceMs = undefined;
        this.settledListener();
    }
}
