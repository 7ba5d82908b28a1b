import { ByteBudget } from "../../decisions/limits/ByteBudget/index.js";
import { BodyResultKind } from "../../http/BodyResultKind.js";
import { nowMs } from "../../clock/nowMs/index.js";
import { HoldingBudget } from "../../memory/HoldingBudget/index.js";
import { RefusalListener } from "../../logs/RefusalListener.js";
import { PendingRequest } from "../PendingRequest.js";

/** Limit on the bytes of all requests that are held; each body is copied once, in a process of a few hundred megabytes. */
const MAX_REQUEST_BYTES = 32 * 1_024 * 1_024;
/** Number of requests without a response that has been handed over from which on new ones are refused. */
const MAX_REQUESTS = 2_048;
/** Number of requests, with refused and unread ones, from which on a connection that brings more is closed at once. */
const MAX_HELD_REQUESTS = 4_096;
/** Bytes of responses that callers have not read from which on new requests are refused; ready responses are delivered. */
const MAX_UNREAD_BYTES = 64 * 1_024 * 1_024;

/** Bounds what all callers hold together: requests, their bytes, and responses that they have not read. */
export class CallerHoldings {
    /** Budget for the bytes of requests. */
    readonly requestBudget = ByteBudget.create(MAX_REQUEST_BYTES);
    private requestCount = 0;
    /** Requests that were not accepted and are held by Node.js until their connection is closed. */
    private unreadRequestCount = 0;
    private unreadResponseBytes = 0;

    private constructor(private readonly onRefusal: RefusalListener, private readonly budget: HoldingBudget) {}

    /**
     * Creates holdings without requests.
     *
     * @param onRefusal - Called with each refusal.
     * @param budget - Bounds what the process holds in all.
     */
    static create(onRefusal: RefusalListener, budget: HoldingBudget): CallerHoldings {
        return new CallerHoldings(onRefusal, budget);
    }

    /** Number of requests whose response has not been handed to the operating system. */
    get openRequestCount(): number {
        return this.requestCount;
    }

    /** Bytes of responses that have not been handed to the operating system. */
    get unreadBytes(): number {
        return this.unreadResponseBytes;
    }

    /** True if not even a refusal can be held. */
    get isExhausted(): boolean {
        return this.requestCount + this.unreadRequestCount >= MAX_HELD_REQUESTS;
    }

    /** Adds a request that is not accepted. */
    addUnread(): void {
        this.unreadRequestCount += 1;
    }

    /** Releases requests that were not accepted. */
    releaseUnread(count: number): void {
        this.unreadRequestCount -= count;
    }

    /** Adds a request, which is held until `release`. */
    add(): void {
        this.requestCount += 1;
    }

    /**
     * Acquires the bytes of a header section, unless too much is held.
     *
     * @param pending - The request.
     * @param headerBytes - Memory of its header section.
     * @param unreadBytes - Bytes of responses that its caller has not read.
     * @returns False if the request must be refused.
     */
    tryAcquire(pending: PendingRequest, headerBytes: number, unreadBytes: number): boolean {
        const peer = pending.response.req.socket.remoteAddress;
        if (this.requestCount > MAX_REQUESTS) {
            this.onRefusal("requests", this.requestCount, MAX_REQUESTS, peer);
            return false;
        }
        if (this.unreadResponseBytes > MAX_UNREAD_BYTES) {
            this.onRefusal("unread responses", this.unreadResponseBytes, MAX_UNREAD_BYTES, peer);
            return false;
        }
        if (unreadBytes > 0 && this.budget.isUnderPressure) {
            this.onRefusal("requests of callers with unread responses", this.budget.heldBytes, this.budget.limitBytes, peer);
            return false;
        }
        const bodyBytes = Number(pending.response.req.headers["content-length"] ?? 0);
        if (bodyBytes > 0 && !this.budget.hasRoomForRequest(bodyBytes)) {
            this.onRefusal("request bodies of the process", this.budget.heldBytes, this.budget.limitBytes, peer);
            return false;
        }
        if (!this.requestBudget.tryAcquire(headerBytes)) {
            this.recordIncompleteBody(BodyResultKind.BudgetExhausted, pending);
            return false;
        }
        pending.headerBytes += headerBytes;
        return true;
    }

    /** Reports that a body was refused because of what is held. */
    recordIncompleteBody(kind: BodyResultKind, pending: PendingRequest): void {
        const { bytesRead, remoteAddress } = pending.response.req.socket;
        if (kind === BodyResultKind.BudgetExhausted) {
            this.onRefusal("request bodies", this.requestBudget.heldBytes, MAX_REQUEST_BYTES, remoteAddress);
        }
        if (kind === BodyResultKind.TooManyPieces) {
            this.onRefusal("pieces of a request body", bytesRead, bytesRead, remoteAddress);
        }
    }

    /** Releases the body of a request, which has its response. Node.js keeps the header section as long as the response. */
    releaseBody(pending: PendingRequest): void {
        this.requestBudget.release(pending.bodyBytes);
        pending.bodyBytes = 0;
    }

    /** Adds the response to a request; it is held until `release`. */
    holdResponse(pending: PendingRequest, bytes: number): void {
        if (pending.responseBytes === 0) {
            pending.unreadSinceMs = nowMs();
        }
        pending.responseBytes += bytes;
        this.unreadResponseBytes += bytes;
        this.budget.recordGrowth();
    }

    /** Releases a part of the response to a request, which was handed to the operating system. */
    releaseResponse(pending: PendingRequest, bytes: number): void {
        // The rest may have been released before, because the caller is gone.
        const releasedBytes = Math.min(bytes, pending.responseBytes);
        pending.responseBytes -= releasedBytes;
        pending.unreadSinceMs = nowMs();
        this.unreadResponseBytes -= releasedBytes;
    }

    /** Releases all that a request holds: its response has been handed over, or its caller is gone. */
    release(pending: PendingRequest): void {
        this.releaseBody(pending);
        this.requestBudget.release(pending.headerBytes);
        pending.headerBytes = 0;
        this.unreadResponseBytes -= pending.responseBytes;
        pending.responseBytes = 0;
        this.requestCount -= 1;
    }
}
