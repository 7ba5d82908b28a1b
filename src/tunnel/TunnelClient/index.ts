import { WebSocket } from "ws";
import { nowMs } from "../../clock/nowMs/index.js";
import { unpackLoads } from "../../decisions/fleet/unpackLoads/index.js";
import { SocketBudget } from "../../frames/SocketBudget/index.js";
import { isFinalStatus } from "../../http/isFinalStatus/index.js";
import { RefusalCause } from "../../model/RefusalCause.js";
import { RequestKind } from "../../model/RequestKind.js";
import { toError } from "../../model/toError/index.js";
import { bodyBytesOf } from "../bodyBytesOf/index.js";
import { FAILURE_DOMAIN_HEADER } from "../failureDomainHeader.js";
import { Frame } from "../Frame.js";
import { FrameKind } from "../FrameKind.js";
import { GateReply } from "../GateReply.js";
import { GateReplyKind } from "../GateReplyKind.js";
import { GateTunnel } from "../GateTunnel.js";
import { isFinalReply } from "../isFinalReply/index.js";
import { MIN_LINK_BYTES_PER_MS } from "../minLinkRate.js";
import { OfferHandle } from "../OfferHandle.js";
import { ProxyMessage } from "../ProxyMessage.js";
import { TunnelBody } from "../TunnelBody/index.js";
import { TunnelCallbacks } from "../TunnelCallbacks.js";
import { TunnelSocket } from "../TunnelSocket/index.js";
import { WorkOffer } from "../WorkOffer.js";

/** Timeout for connecting, in ms: several round trips between failure domains, with margin for a busy gate. */
const CONNECT_TIMEOUT_MS = 400;
/** Time after which the handshake of a connection ends also if `tick` is not called, in ms. */
const MAX_CONNECT_MS = 4_000;
/** Timeout for the first reply to an offer, in ms; a gate decides at once. */
const FIRST_REPLY_TIMEOUT_MS = 150;
/** Time without a reply after which a connection is pinged if a response is overdue or an offer got no reply, in ms. */
const PING_AFTER_MS = 400;
/** Time without a reply after a ping after which a connection counts as dead, in ms. */
const PONG_TIMEOUT_MS = 600;
/** Time between two calls of `tick` from which this process itself was held up, in ms; they come every 100 ms. */
const HELD_UP_AFTER_MS = 150;
/** What such a time counts against a gate, in ms: its reply may have arrived meanwhile and not be read yet. */
const HELD_UP_COUNTED_MS = 50;
/** Delay before the next attempt to reach an unreachable gate, in ms; doubles with each failure. */
const MIN_RETRY_DELAY_MS = 700;
/** Maximum delay between two attempts, in ms. */
const MAX_RETRY_DELAY_MS = 4_000;

/** Size from which a body is sent only once the gate has granted a slot, in bytes; smaller ones take less than a round trip to send. */
const MIN_DEFERRED_BODY_BYTES = 8_192;
/** Maximum number of messages that wait for the connection; their senders send them again. */
const MAX_PENDING_MESSAGES = 16;

const EMPTY = Buffer.alloc(0);
const UNREACHABLE: GateReply = {
    kind: GateReplyKind.Refused,
    cause: RefusalCause.Unreachable,
    retryAfterMs: 0,
    reachedEndpoint: false,
    load: undefined,
};

interface OutstandingOffer {
    readonly offer: WorkOffer;
    readonly onReply: (reply: GateReply) => void;
    readonly deadlineAtMs: number;
    /** True if the body was left out of the offer. */
    isBodyDeferred: boolean;
    /** True once the entry has confirmed the offer, so that the gate may send it to the endpoint. */
    isConfirmed: boolean;
    /** Run of the gate that the offer was sent to, or undefined if it was not sent. */
    gateRun: string | undefined;
    sentAtMs: number;
    /** Time without a reply in which this process could have read one. */
    unansweredMs: number;
    hasReply: boolean;
    needsResume: boolean;
}

/**
 * Connection of an entry to one gate. If the gate is unreachable, offers that were not confirmed are refused as not
 * executed. If the connection fails or stops responding, confirmed offers that may be repeated are reported as broken. For
 * those that must not be repeated, it asks the gate on a new connection, which resumes the offer or refuses it as not executed.
 */
export class TunnelClient implements GateTunnel {
    private readonly outstanding = new Map<string, OutstandingOffer>();
    /** Messages that are sent once the connection is open. */
    private pendingMessages: ProxyMessage[] = [];
    /** Bodies of long responses that are being received. */
    private readonly bodies = new Map<string, TunnelBody>();
    private socket: TunnelSocket | undefined;
    private gateRun: string | undefined;
    private takesDeferredBodies = false;
    /** Size of the frames sent since the last reply from the gate, which may be behind them on the link. */
    private unansweredBytes = 0;
    private lastConnectAtMs = Number.NEGATIVE_INFINITY;
    /** Time of connecting in which this process could have noticed that the connection is open. */
    private connectingMs = 0;
    private failedConnects = 0;
    private lastReplyAtMs = 0;
    private lastPingAtMs = 0;
    /** Time since the last ping in which this process could have read a reply. */
    private unansweredPingMs = 0;
    private lastTickAtMs = 0;
    private isUnreachable = false;
    private isUnresponsive = false;
    private isRetired = false;
    private isClosed = false;

    private constructor(
        private readonly address: string,
        private readonly token: string,
        private readonly callbacks: TunnelCallbacks,
        private readonly budget: SocketBudget,
        private readonly failureDomain: string | undefined,
    ) {}

    /**
     * Creates a client that connects when the first request is offered.
     *
     * @param address - `host:port` of the gate.
     * @param token - Token that authenticates this process as a member of the fleet.
     * @param callbacks - Functions that it calls.
     * @param budget - Bounds what the tunnels of this process hold.
     * @param failureDomain - Failure domain of this process, by which the gate chooses whom to invite; undefined to state none.
     */
    static create(address: string, token: string, callbacks: TunnelCallbacks, budget: SocketBudget, failureDomain?: string): TunnelClient {
        return new TunnelClient(address, token, callbacks, budget, failureDomain);
    }

    /** False while the gate cannot be connected to, or has sent no reply since it failed to reply to an offer in time. */
    get isReachable(): boolean {
        return !this.isUnreachable && !this.isUnresponsive;
    }

    /** True while `tick` has to be called: offers are outstanding, responses come, the gate is unreachable or being connected to. */
    get isWaiting(): boolean {
        return this.outstanding.size > 0 || this.bodies.size > 0 || this.isUnreachable || this.isUnresponsive || this.isConnecting;
    }

    offer(offer: WorkOffer, onReply: (reply: GateReply) => void): OfferHandle {
        const outstanding = {
            offer,
            onReply,
            deadlineAtMs: nowMs() + offer.remainingMs,
            isBodyDeferred: false,
            isConfirmed: false,
            gateRun: undefined,
            sentAtMs: 0,
            unansweredMs: 0,
            hasReply: false,
            needsResume: false,
        };
        this.outstanding.set(offer.key, outstanding);
        if (this.gateRun === undefined) {
            this.connect();
        }
        else {
            this.transmit(outstanding);
        }
        return { cancel: () => this.cancel(offer.key), confirm: () => undefined };
    }

    open(): void {
        if (!this.isUnreachable) {
            this.connect();
        }
    }

    sendMessage(message: ProxyMessage): boolean {
        if (this.socket !== undefined && this.gateRun !== undefined) {
            this.socket.send({ kind: FrameKind.Message, message });
            return true;
        }
        if (this.isUnreachable || this.isClosed || this.pendingMessages.length >= MAX_PENDING_MESSAGES) {
            return false;
        }
        this.pendingMessages.push(message);
        this.connect();
        return true;
    }

    /** Handles timeouts. Call it several times a second while `isWaiting`. */
    tick(): void {
        const atMs = nowMs();
        const previousAtMs = this.lastTickAtMs;
        this.lastTickAtMs = atMs;
        this.failExpired(atMs);
        if (this.socket === undefined) {
            if ((this.outstanding.size > 0 || !this.isReachable) && atMs - this.lastConnectAtMs >= this.retryDelayMs) {
                this.connect();
            }
            return;
        }
        if (this.gateRun === undefined) {
            this.connectingMs += countedMs(atMs - Math.max(previousAtMs, this.lastConnectAtMs));
            if (this.connectingMs > CONNECT_TIMEOUT_MS) {
                this.socket.close();
            }
            return;
        }
        this.refuseUnanswered(atMs, previousAtMs);
        this.unansweredPingMs += countedMs(atMs - Math.max(previousAtMs, this.lastPingAtMs));
        this.pingIfOverdue(this.socket, atMs);
    }

    /** Pings the gate only if a response is overdue; most responses are on time and prove that the connection is alive. */
    private pingIfOverdue(socket: TunnelSocket, atMs: number): void {
        const isAwaitingPong = this.lastPingAtMs > this.lastReplyAtMs;
        if (isAwaitingPong && this.unansweredPingMs > PONG_TIMEOUT_MS + this.transferMs) {
            socket.close();
        }
        else if (!isAwaitingPong && atMs - this.lastReplyAtMs >= PING_AFTER_MS && (this.isUnresponsive || this.hasOverdueResponse(atMs))) {
            this.lastPingAtMs = atMs;
            this.unansweredPingMs = 0;
            socket.send({ kind: FrameKind.Ping });
        }
    }

    /** Time that what was sent since the last reply from the gate may take on the link, in ms. */
    private get transferMs(): number {
        return this.unansweredBytes < MIN_DEFERRED_BODY_BYTES ? 0 : this.unansweredBytes / MIN_LINK_BYTES_PER_MS;
    }

    private hasOverdueResponse(atMs: number): boolean {
        const awaitsData = [...this.bodies.values()].some(({ isAwaitingData }) => isAwaitingData);
        return awaitsData || [...this.outstanding.values()].some(({ offer, sentAtMs }) => atMs - sentAtMs >= Math.max(PING_AFTER_MS, offer.usualMs));
    }

    /** Resets the reconnect delay, for example after an update about the gate. */
    resetBackoff(): void {
        this.failedConnects = 0;
    }

    retire(): void {
        this.isRetired = true;
        this.bodies.forEach((body) => body.hurry());
    }

    /** Closes the connection and settles all outstanding offers. */
    close(): void {
        this.isClosed = true;
        this.socket?.close();
        this.breakBodies("the tunnel was closed");
        this.settleAfterClose("the tunnel was closed");
    }

    private get isConnecting(): boolean {
        return this.socket !== undefined && this.gateRun === undefined;
    }

    private get retryDelayMs(): number {
        return Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * 2 ** Math.max(0, this.failedConnects - 1));
    }

    private cancel(key: string): void {
        this.bodies.get(key)?.cancel();
        if (this.outstanding.delete(key)) {
            this.socket?.send({ kind: FrameKind.Cancel, key });
        }
    }

    private connect(): void {
        if (this.socket !== undefined || this.isClosed) {
            return;
        }
        this.lastConnectAtMs = nowMs();
        this.connectingMs = 0;
        let webSocket: WebSocket;
        try {
            webSocket = new WebSocket(`ws://${this.address}/`, {
                handshakeTimeout: MAX_CONNECT_MS,
                perMessageDeflate: false,
                maxPayload: this.budget.maxFrameBytes,
                maxFragments: 1,
                headers: {
                    authorization: this.token,
                    ...this.failureDomain === undefined ? {} : { [FAILURE_DOMAIN_HEADER]: encodeURIComponent(this.failureDomain) },
                },
            });
        }
        catch (thrown) {
            // The record of the gate has an address that nothing can be connected to.
            this.handleConnectFailure(toError(thrown).message);
            return;
        }
        this.budget.watchOnceOpen(webSocket);
        const socket = TunnelSocket.create(
            webSocket,
            this.budget,
            (frame) => this.handleFrame(socket, frame),
            (problem) => this.handleClose(socket, problem),
            (error) => this.callbacks.onError(error),
            (lengthBytes) => {
                this.unansweredBytes += lengthBytes;
                this.callbacks.onSent?.(lengthBytes);
            },
        );
        this.socket = socket;
    }

    private handleFrame(socket: TunnelSocket, frame: Frame): void {
        if (socket !== this.socket) {
            return;
        }
        if (frame.kind !== FrameKind.Invitation && frame.kind !== FrameKind.PackedInvitation) {
            // A gate sends invitations by itself, also if it receives nothing from this entry.
            this.lastReplyAtMs = nowMs();
            this.unansweredBytes = 0;
            this.isUnresponsive = false;
        }
        if (frame.kind === FrameKind.Welcome) {
            this.takesDeferredBodies = frame.takesDeferredBodies === true;
            this.handleWelcome(frame.gateRun);
        }
        else if (frame.kind === FrameKind.Reply) {
            this.handleReply(frame.key, frame.reply);
        }
        else if (frame.kind === FrameKind.Head) {
            this.handleHead(frame);
        }
        else if (frame.kind === FrameKind.Chunk) {
            this.bodies.get(frame.key)?.handleChunk(frame.data);
        }
        else if (frame.kind === FrameKind.End) {
            this.endBody(frame.key, frame.problem);
        }
        else if (frame.kind === FrameKind.Message) {
            this.callbacks.onMessage?.(frame.message);
        }
        else if (frame.kind === FrameKind.Invitation) {
            this.callbacks.onInvitation(frame.invitation);
        }
        else if (frame.kind === FrameKind.PackedInvitation) {
            unpackLoads(frame.load, () => this.address).forEach((load) => this.callbacks.onInvitation({ load, waitedMs: frame.waitedMs }));
        }
    }

    private handleWelcome(gateRun: string): void {
        this.gateRun = gateRun;
        this.failedConnects = 0;
        this.setUnreachable(false, "");
        this.outstanding.forEach((outstanding) => this.transmit(outstanding));
        this.pendingMessages.splice(0).forEach((message) => this.socket?.send({ kind: FrameKind.Message, message }));
    }

    private transmit(outstanding: OutstandingOffer): void {
        outstanding.sentAtMs = nowMs();
        outstanding.unansweredMs = 0;
        outstanding.hasReply = false;
        if (outstanding.needsResume) {
            this.socket?.send({ kind: FrameKind.Resume, key: outstanding.offer.key, gateRun: outstanding.gateRun ?? "" });
            return;
        }
        outstanding.gateRun = this.gateRun;
        const remainingMs = outstanding.deadlineAtMs - nowMs();
        const { offer } = outstanding;
        const bodyBytes = bodyBytesOf(offer);
        outstanding.isBodyDeferred = this.takesDeferredBodies && bodyBytes >= MIN_DEFERRED_BODY_BYTES;
        const body = outstanding.isBodyDeferred ? { body: EMPTY, deferredBodyBytes: bodyBytes } : {};
        this.socket?.send({ kind: FrameKind.Offer, offer: { ...offer, ...body, remainingMs } });
    }

    private handleReply(key: string, reply: GateReply): void {
        const outstanding = this.outstanding.get(key);
        if (outstanding === undefined) {
            return;
        }
        outstanding.hasReply = true;
        if (reply.kind === GateReplyKind.Granted) {
            outstanding.isConfirmed = true;
            this.socket?.send({ kind: FrameKind.Confirm, key, ...outstanding.isBodyDeferred ? { body: outstanding.offer.body } : {} });
            outstanding.onReply({ kind: GateReplyKind.Started });
            return;
        }
        if (isFinalReply(reply)) {
            this.outstanding.delete(key);
        }
        if (reply.kind === GateReplyKind.Answered && !isFinalStatus(reply.answer.status)) {
            outstanding.onReply({ kind: GateReplyKind.Broken, problem: "the gate sent an invalid status", lostEndpoint: false });
            return;
        }
        outstanding.onReply(reply);
    }

    private handleHead({ key, status, headers, load }: Extract<Frame, { kind: FrameKind.Head }>): void {
        if (!this.outstanding.has(key)) {
            return;
        }
        const stream = TunnelBody.create({
            onGrant: (bytes) => this.socket?.send({ kind: FrameKind.Credit, key, bytes }),
            hasRoom: () => this.callbacks.hasRoom?.() ?? false,
            onCancel: () => {
                this.bodies.delete(key);
                this.socket?.send({ kind: FrameKind.Cancel, key });
            },
        });
        this.bodies.set(key, stream);
        if (this.isRetired) {
            stream.hurry();
        }
        this.handleReply(key, { kind: GateReplyKind.Answered, answer: { status, headers, body: EMPTY, stream }, load });
    }

    private endBody(key: string, problem: string | undefined): void {
        const body = this.bodies.get(key);
        this.bodies.delete(key);
        body?.handleEnd(problem);
    }

    private handleClose(socket: TunnelSocket, problem: string): void {
        if (socket !== this.socket) {
            return;
        }
        const wasOpen = this.gateRun !== undefined;
        this.socket = undefined;
        this.gateRun = undefined;
        this.breakBodies(problem);
        if (!wasOpen) {
            this.handleConnectFailure(problem);
            return;
        }
        this.settleAfterClose(problem);
        if (this.outstanding.size > 0) {
            this.connect();
        }
    }

    private handleConnectFailure(problem: string): void {
        this.failedConnects += 1;
        this.pendingMessages = [];
        this.setUnreachable(true, problem);
        this.settleAfterClose(problem);
    }

    /** Ends the responses that were being received, since their rest is lost. */
    private breakBodies(problem: string): void {
        [...this.bodies.keys()].forEach((key) => this.endBody(key, problem));
    }

    /** Settles offers after their connection closed. Confirmed ones that must not be repeated wait for the next connection. */
    private settleAfterClose(problem: string): void {
        [...this.outstanding].forEach(([key, outstanding]) => {
            if (outstanding.isConfirmed && outstanding.offer.requestKind === RequestKind.Once && !this.isClosed) {
                outstanding.needsResume = true;
                return;
            }
            this.outstanding.delete(key);
            outstanding.onReply(outstanding.isConfirmed ? { kind: GateReplyKind.Broken, problem, lostEndpoint: false } : UNREACHABLE);
        });
    }

    /** Refuses offers without a timely reply. They were not confirmed and so cannot run; the entry can offer them elsewhere. */
    private refuseUnanswered(atMs: number, previousAtMs: number): void {
        const waiting = [...this.outstanding].filter(([, { hasReply, isConfirmed }]) => !hasReply && !isConfirmed);
        waiting.forEach(([, outstanding]) => {
            outstanding.unansweredMs += countedMs(atMs - Math.max(previousAtMs, outstanding.sentAtMs));
        });
        const unanswered = waiting.filter(([, { unansweredMs }]) => unansweredMs > FIRST_REPLY_TIMEOUT_MS + this.transferMs);
        unanswered.forEach(([key, { onReply }]) => {
            this.isUnresponsive = true;
            this.cancel(key);
            onReply(UNREACHABLE);
        });
    }

    private failExpired(atMs: number): void {
        [...this.outstanding].filter(([, { deadlineAtMs }]) => deadlineAtMs <= atMs).forEach(([key, { onReply }]) => {
            this.cancel(key);
            onReply({ kind: GateReplyKind.Broken, problem: "no word of it before the deadline", lostEndpoint: false });
        });
    }

    private setUnreachable(isUnreachable: boolean, problem: string): void {
        if (this.isUnreachable !== isUnreachable) {
            this.isUnreachable = isUnreachable;
            this.callbacks.onReachabilityChange(!isUnreachable, problem);
        }
    }
}

/** Part of a time between two calls of `tick` that counts as silence of the gate. */
function countedMs(elapsedMs: number): number {
    return elapsedMs > HELD_UP_AFTER_MS ? HELD_UP_COUNTED_MS : elapsedMs;
}
