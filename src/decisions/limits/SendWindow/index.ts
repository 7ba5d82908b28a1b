import { SendReason } from "../SendReason.js";

interface Sent {
    readonly atMs: number;
    readonly reason: SendReason;
}

/** Counts the requests sent to an endpoint in a sliding window, by reason. Times must not go back. */
export class SendWindow {
    private sent: Sent[] = [];
    /** Number of entries at the start of the list that the window has passed. */
    private passedCount = 0;

    private constructor(private readonly windowMs: number) {}

    /**
     * Creates an empty window.
     *
     * @param windowMs - Length of the window.
     */
    static create(windowMs: number): SendWindow {
        return new SendWindow(windowMs);
    }

    /** Records that a request is sent. */
    record(reason: SendReason, nowMs: number): void {
        this.dropPassed(nowMs);
        this.sent.push({ atMs: nowMs, reason });
    }

    /** Returns the number of requests sent within the window. */
    count(nowMs: number): number {
        this.dropPassed(nowMs);
        return this.sent.length - this.passedCount;
    }

    /** Returns the number of requests sent within the window for each reason that occurred. */
    countByReason(nowMs: number): Partial<Record<SendReason, number>> {
        this.dropPassed(nowMs);
        const counts: Partial<Record<SendReason, number>> = {};
        this.sent.slice(this.passedCount).forEach(({ reason }) => {
            counts[reason] = (counts[reason] ?? 0) + 1;
        });
        return counts;
    }

    /** Drops what the window has passed. Copies the list only once half of it has passed, so that a request costs the same at any rate. */
    private dropPassed(nowMs: number): void {
        while (nowMs - (this.sent[this.passedCount]?.atMs ?? nowMs) >= this.windowMs) {
            this.passedCount += 1;
        }
        if (this.passedCount > 0 && this.passedCount * 2 >= this.sent.length) {
            this.sent = this.sent.slice(this.passedCount);
            this.passedCount = 0;
        }
    }
}
