import { RefusalListener } from "../../logs/RefusalListener.js";
import { RefusalCause } from "../../model/RefusalCause.js";
import { GateReply } from "../GateReply.js";
import { GateReplyKind } from "../GateReplyKind.js";

/** Time for which the final reply to an offer that must not be repeated is kept, in ms; longer than most deadlines. */
const RETENTION_MS = 30_000;
/** Maximum size of the kept replies, in bytes. */
const MAX_BYTES = 24 * 1_024 * 1_024;
/** Maximum number of kept replies. */
const MAX_REPLIES = 20_000;
/** Maximum number of offers that are void before they have arrived. */
const MAX_VOIDS = 10_000;
/** Memory of a reply without its header fields and its body, in bytes. */
const REPLY_OVERHEAD_BYTES = 512;
/** Memory of a header field besides its characters, in bytes. */
const FIELD_OVERHEAD_BYTES = 96;

const VOIDED: GateReply = {
    kind: GateReplyKind.Refused,
    cause: RefusalCause.Voided,
    retryAfterMs: 0,
    reachedEndpoint: false,
    load: undefined,
};
const DROPPED: GateReply = { kind: GateReplyKind.Broken, problem: "the gate has dropped the reply", lostEndpoint: false };

interface RetainedReply {
    readonly reply: GateReply;
    readonly sizeBytes: number;
    readonly atMs: number;
}

/**
 * Final replies to offers that must not be repeated, kept for a time so that entries can fetch them over a new connection, in
 * bounded memory. What was dropped to make room may have run: it is reported as broken, never as void.
 */
export class RetainedReplies {
    private readonly replies = new Map<string, RetainedReply>();
    /** Times at which offers became void before they arrived. */
    private readonly voids = new Map<string, number>();
    /** Keys up to the end of this time may be those of offers that have run and of which nothing is left. */
    private uncertainUntilMs = Number.NEGATIVE_INFINITY;
    private totalBytes = 0;

    private constructor(private readonly recordRefusal: RefusalListener) {}

    /**
     * Creates an empty store.
     *
     * @param recordRefusal - Called each time a reply is dropped before its time.
     */
    static create(recordRefusal: RefusalListener): RetainedReplies {
        return new RetainedReplies(recordRefusal);
    }

    /** Size of the kept replies, in bytes. */
    get sizeBytes(): number {
        return this.totalBytes;
    }

    /** Number of kept replies and void offers. */
    get count(): number {
        return this.replies.size + this.voids.size;
    }

    /**
     * Keeps a final reply. If there is too much, the bodies of the oldest replies are dropped.
     *
     * @param key - Key of the offer.
     * @param reply - Final reply to it.
     * @param nowMs - Current time.
     */
    put(key: string, reply: GateReply, nowMs: number): void {
        this.set(key, copyReply(reply), nowMs);
        if (this.totalBytes > MAX_BYTES) {
            this.recordRefusal("bytes of retained replies", this.totalBytes, MAX_BYTES);
            this.dropBodies();
        }
        const [oldest] = this.replies;
        if (this.replies.size > MAX_REPLIES && oldest !== undefined) {
            this.recordRefusal("retained replies", this.replies.size, MAX_REPLIES);
            this.delete(oldest[0]);
            this.uncertainUntilMs = nowMs + RETENTION_MS;
        }
    }

    /**
     * Makes an offer void that has not run, so that it is refused if it still arrives. An old void may be dropped to make room: an
     * offer that arrives after that is granted at most, since nobody confirms it.
     *
     * @param key - Key of the offer.
     * @param nowMs - Current time.
     */
    putVoid(key: string, nowMs: number): void {
        this.voids.set(key, nowMs);
        const [oldest] = this.voids.keys();
        if (this.voids.size > MAX_VOIDS && oldest !== undefined) {
            this.recordRefusal("void offers", this.voids.size, MAX_VOIDS);
            this.voids.delete(oldest);
        }
    }

    /**
     * Decides about an offer of which nothing is known, and makes it void if it cannot have run.
     *
     * @param key - Key of the offer.
     * @param nowMs - Current time.
     * @returns Reply to the entry: refused, or broken if the offer may have run and its reply was dropped.
     */
    settleUnknown(key: string, nowMs: number): GateReply {
        if (nowMs < this.uncertainUntilMs) {
            return DROPPED;
        }
        this.putVoid(key, nowMs);
        return VOIDED;
    }

    /** Returns the final reply to an offer, or undefined if there is none. */
    get(key: string): GateReply | undefined {
        return this.replies.get(key)?.reply ?? (this.voids.has(key) ? VOIDED : undefined);
    }

    /** Drops what was kept for long enough. */
    removeExpired(nowMs: number): void {
        const beforeMs = nowMs - RETENTION_MS;
        [...this.replies].filter(([, { atMs }]) => atMs < beforeMs).forEach(([key]) => this.delete(key));
        [...this.voids].filter(([, atMs]) => atMs < beforeMs).forEach(([key]) => this.voids.delete(key));
    }

    private dropBodies(): void {
        for (const [key, { reply, atMs }] of this.replies) {
            if (this.totalBytes <= MAX_BYTES) {
                return;
            }
            if (reply.kind === GateReplyKind.Answered) {
                // Set in place, so that the order of the others stays that of their times.
                this.set(key, DROPPED, atMs);
            }
        }
    }

    private set(key: string, reply: GateReply, atMs: number): void {
        const sizeBytes = estimateBytes(reply);
        this.totalBytes += sizeBytes - (this.replies.get(key)?.sizeBytes ?? 0);
        this.replies.set(key, { reply, sizeBytes, atMs });
    }

    private delete(key: string): void {
        this.totalBytes -= this.replies.get(key)?.sizeBytes ?? 0;
        this.replies.delete(key);
    }
}

function estimateBytes(reply: GateReply): number {
    if (reply.kind !== GateReplyKind.Answered) {
        return REPLY_OVERHEAD_BYTES;
    }
    const { body, headers } = reply.answer;
    const headerBytes = headers.reduce((sum, [name, value]) => sum + FIELD_OVERHEAD_BYTES + name.length + value.length, 0);
    return REPLY_OVERHEAD_BYTES + body.length + headerBytes;
}

/** Returns a reply whose body does not keep the larger buffer that it is a part of. */
function copyReply(reply: GateReply): GateReply {
    if (reply.kind !== GateReplyKind.Answered || reply.answer.body.length === reply.answer.body.buffer.byteLength) {
        return reply;
    }
    const body = Buffer.allocUnsafeSlow(reply.answer.body.length);
    reply.answer.body.copy(body);
    return { ...reply, answer: { ...reply.answer, body } };
}
