import { SendReason } from "../SendReason.js";

interface Sent {
    readonly atMs: number;
    readonly reason: SendReason;
}

/** Counts the requests sent to an endpoint in a sliding window, by reason. */
export class SendWindow {
    private sent: readonly Sent[] = [];

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
        this.sent = [...this.sent.filter(({ atMs }) => nowMs - atMs < this.windowMs), { atMs: nowMs, reason }];
    }

    /** Returns the number of requests sent within the window. */
    count(nowMs: number): number {
        return this.sent.filter(({ atMs }) => nowMs - atMs < this.windowMs).length;
    }

    /** Returns the number of requests sent within the window for each reason that occurred. */
    countByReason(nowMs: number): Partial<Record<SendReason, number>> {
        const counts: Partial<Record<SendReason, number>> = {};
        this.sent.filter(({ atMs }) => nowMs - atMs < this.windowMs).forEach(({ reason }) => {
            counts[reason] = (counts[reason] ?? 0) + 1;
        });
        return counts;
    }
}
