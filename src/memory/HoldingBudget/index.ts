import { Holder } from "../Holder.js";
import { HoldingClosure } from "../HoldingClosure.js";
import { HoldingPart } from "../HoldingPart.js";

/** Default limit: with 70 MB of an idle proxy and garbage of the same size it leaves room within the 250 MB of a small VM. */
const DEFAULT_LIMIT_BYTES = 64 * 1_024 * 1_024;
/** Share of the limit from which on callers that hold unread responses get no further ones. */
const PRESSURE_SHARE = 0.75;
/** Share of the limit that requests may take; the rest is left for responses, without which no request ends. */
const REQUEST_SHARE = 0.5;
/** Minimum time between two reports about one part, in ms. */
const REPORT_INTERVAL_MS = 1_000;

interface Candidate {
    readonly part: HoldingPart;
    readonly holder: Holder;
}

/**
 * Bounds what a process holds for others in all. Under pressure, callers that already hold unread responses are refused; above
 * the limit, the connections that have held most for longest without reading are closed. Those that read are left alone.
 */
export class HoldingBudget {
    private readonly parts: HoldingPart[] = [];
    private readonly unreported = new Map<string, HoldingClosure>();
    private readonly reportedAtMs = new Map<string, number>();
    private isCheckDue = false;

    private constructor(
        private readonly limit: number,
        private readonly readNowMs: () => number,
        private readonly onClosed: (closure: HoldingClosure) => void,
    ) {}

    /**
     * Creates a budget without parts.
     *
     * @param readNowMs - Reads the clock.
     * @param onClosed - Called at most once a second for each part after connections were closed.
     * @param limitBytes - Limit on all parts together.
     */
    static create(readNowMs: () => number, onClosed: (closure: HoldingClosure) => void, limitBytes = DEFAULT_LIMIT_BYTES): HoldingBudget {
        return new HoldingBudget(limitBytes, readNowMs, onClosed);
    }

    /** Bytes that all parts hold. */
    get heldBytes(): number {
        return this.parts.reduce((sum, { readHeldBytes }) => sum + readHeldBytes(), 0);
    }

    /** Limit on all parts together. */
    get limitBytes(): number {
        return this.limit;
    }

    /** True if callers that hold unread responses are to be refused. */
    get isUnderPressure(): boolean {
        return this.heldBytes > PRESSURE_SHARE * this.limit;
    }

    /** Adds a part. */
    add(part: HoldingPart): void {
        this.parts.push(part);
    }

    /**
     * Returns whether a request can be held. A single one always can, if no others are held.
     *
     * @param bytes - Size of the request.
     */
    hasRoomForRequest(bytes: number): boolean {
        const requestBytes = this.parts.filter(({ isRequests }) => isRequests).reduce((sum, { readHeldBytes }) => sum + readHeldBytes(), 0);
        return requestBytes === 0 || requestBytes + bytes <= REQUEST_SHARE * this.limit;
    }

    /** Schedules `check` if the limit is exceeded. Call it whenever more is held. */
    recordGrowth(): void {
        if (!this.isCheckDue && this.heldBytes > this.limit) {
            this.isCheckDue = true;
            // Once for all that is held in this turn, and after the connections closed by the last check have released their bytes.
            setImmediate(() => this.check());
        }
    }

    /** Closes connections until the limit is kept, and reports those that were closed. Call it several times a second. */
    check(): void {
        this.isCheckDue = false;
        const nowMs = this.readNowMs();
        const held = this.heldBytes;
        if (held > this.limit) {
            this.closeLargest(held, nowMs);
        }
        this.report(nowMs);
    }

    private closeLargest(held: number, nowMs: number): void {
        const candidates = this.parts.flatMap((part) => part.findHolders().map((holder): Candidate => ({ part, holder })));
        const weigh = ({ holder }: Candidate): number => holder.heldBytes * (1 + Math.max(0, nowMs - holder.unreadSinceMs));
        candidates.sort((first, second) => weigh(second) - weigh(first));
        let excessBytes = held - this.limit;
        for (const { part, holder } of candidates) {
            if (excessBytes <= 0) {
                return;
            }
            excessBytes -= holder.heldBytes;
            const { count, bytes, unreadMs } = this.unreported.get(part.name) ?? { count: 0, bytes: 0, unreadMs: 0 };
            this.unreported.set(part.name, {
                part: part.name,
                count: count + 1,
                bytes: bytes + holder.heldBytes,
                unreadMs: Math.round(Math.max(unreadMs, nowMs - holder.unreadSinceMs)),
                held,
                limit: this.limit,
            });
            holder.close();
        }
    }

    private report(nowMs: number): void {
        this.unreported.forEach((closure, part) => {
            if (nowMs - (this.reportedAtMs.get(part) ?? Number.NEGATIVE_INFINITY) >= REPORT_INTERVAL_MS) {
                this.reportedAtMs.set(part, nowMs);
                this.unreported.delete(part);
                this.onClosed(closure);
            }
        });
    }
}
