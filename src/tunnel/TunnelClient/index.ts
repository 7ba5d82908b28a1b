import { WebSocket } from "ws";
import { nowMs } from "../../clock/nowMs/index.js";
import { RefusalCause } from "../../model/RefusalCause.js";
import { RequestKind } from "../../model/RequestKind.js";
import { Frame } from "../Frame.js";
import { FrameKind } from "../FrameKind.js";
import { GateReply } from "../GateReply.js";
import { GateReplyKind } from "../GateReplyKind.js";
import { isFinalReply } from "../isFinalReply/index.js";
import { TunnelSocket } from "../TunnelSocket/index.js";
import { WorkHandle } from "../WorkHandle.js";
import { WorkOffer } from "../WorkOffer.js";
import { WorkPort } from "../WorkPort.js";

/** Time to wait for a new connection, in ms: several round trips between failure domains, and a busy gate. */
const CONNECT_TIMEOUT_MS = 400;
/** Time within which a gate says something of an offer, in ms; it decides at once. */
const FIRST_REPLY_MS = 150;
/** Time without any frame after which a connection is tested, in ms, if an answer is overdue or an offer went unanswered. */
const PING_MS = 400;
/** Time after a ping without any frame after which a connection counts as mute, in ms. */
const PONG_MS = 600;
/** Time until a gate that cannot be reached is tried again, in ms; doubled with each attempt that fails. */
const RETRY_MS = 700;
/** Longest time until it is tried again, in ms. */
const MAX_RETRY_MS = 4_000;

const UNREACHABLE: GateReply = {
    kind: GateReplyKind.Refused,
    cause: RefusalCause.Unreachable,
    retryAfterMs: 0,
    reachedEndpoint: false,
    load: undefined,
};

interface Outstanding {
    readonly offer: WorkOffer;
    readonly onReply: (reply: GateReply) => void;
    readonly deadlineAtMs: number;
    /** True once the gate may hand it to the endpoint. */
    hasGone: boolean;
    /** Run of the gate that it was sent to, or undefined if it has not been sent. */
    gateRun: string | undefined;
    sentAtMs: number;
    hasReply: boolean;
    needsResume: boolean;
}

/**
 * An entry's connection to one gate. Offers that were not sent are refused when the gate cannot be reached. When the
 * connection breaks or goes mute, work that may be repeated is reported broken, and of work that may not, the gate is
 * asked on a new connection: it says that it has not run, or goes on with it.
 */
export class TunnelClient implements WorkPort {
    private readonly outstanding = new Map<string, Outstanding>();
    private socket: TunnelSocket | undefined;
    private gateRun: string | undefined;
    private connectAtMs = Number.NEGATIVE_INFINITY;
    private failures = 0;
    private heardAtMs = 0;
    private pingAtMs = 0;
    private isBroken = false;
    private isDoubted = false;
    private isClosed = false;

    private constructor(
        private readonly address: string,
        private readonly token: string,
        private readonly onPath: (isReachable: boolean, problem: string) => void,
    ) {}

    /**
     * Creates a connection that is opened when first needed.
     *
     * @param address - `host:port` of the gate.
     * @param token - Proves that this process belongs to the fleet.
     * @param onPath - Told when the path to the gate breaks or is back.
     */
    static create(address: string, token: string, onPath: (isReachable: boolean, problem: string) => void): TunnelClient {
        return new TunnelClient(address, token, onPath);
    }

    /** False while the gate cannot be reached, or has not answered an offer in time and not been heard since. */
    get isReachable(): boolean {
        return !this.isBroken && !this.isDoubted;
    }

    /** True while something is waited for, so that `tick` has to be called. */
    get isWaiting(): boolean {
        return this.outstanding.size > 0 || this.isBroken || this.isDoubted;
    }

    offer(offer: WorkOffer, onReply: (reply: GateReply) => void): WorkHandle {
        const outstanding = {
            offer,
            onReply,
            deadlineAtMs: nowMs() + offer.remainingMs,
            hasGone: false,
            gateRun: undefined,
            sentAtMs: 0,
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
        return { cancel: () => this.cancel(offer.key), go: () => undefined };
    }

    /** Lets time pass; to be called several times a second. */
    tick(): void {
        const atMs = nowMs();
        this.dropOverdue(atMs);
        if (this.socket === undefined) {
            if ((this.outstanding.size > 0 || this.isBroken) && atMs - this.connectAtMs >= this.retryMs) {
                this.connect();
            }
            return;
        }
        if (this.gateRun === undefined) {
            return;
        }
        this.abandonUnanswered(atMs);
        this.test(this.socket, atMs);
    }

    /** Tests the connection when an answer is overdue, since most answers come in time and prove it themselves. */
    private test(socket: TunnelSocket, atMs: number): void {
        const isPinged = this.pingAtMs > this.heardAtMs;
        if (isPinged && atMs - this.pingAtMs > PONG_MS) {
            socket.close();
        }
        else if (!isPinged && atMs - this.heardAtMs >= PING_MS && (this.isDoubted || this.hasOverdue(atMs))) {
            this.pingAtMs = atMs;
            socket.send({ kind: FrameKind.Ping });
        }
    }

    private hasOverdue(atMs: number): boolean {
        return [...this.outstanding.values()].some(({ offer, sentAtMs }) => atMs - sentAtMs >= Math.max(PING_MS, offer.usualMs));
    }

    /** Has a gate of which there are news tried without further delay, if it could not be reached. */
    retrySoon(): void {
        this.failures = 0;
    }

    /** Closes the connection; offers under way are reported. */
    close(): void {
        this.isClosed = true;
        this.socket?.close();
        this.lose("the tunnel was closed");
    }

    private get retryMs(): number {
        return Math.min(MAX_RETRY_MS, RETRY_MS * 2 ** Math.max(0, this.failures - 1));
    }

    private cancel(key: string): void {
        if (this.outstanding.delete(key)) {
            this.socket?.send({ kind: FrameKind.Cancel, key });
        }
    }

    private connect(): void {
        if (this.socket !== undefined || this.isClosed) {
            return;
        }
        this.connectAtMs = nowMs();
        const webSocket = new WebSocket(`ws://${this.address}/`, {
            handshakeTimeout: CONNECT_TIMEOUT_MS,
            perMessageDeflate: false,
            headers: { authorization: this.token },
        });
        const socket = TunnelSocket.create(webSocket, (frame) => this.receive(socket, frame), (problem) => this.closed(socket, problem));
        this.socket = socket;
    }

    private receive(socket: TunnelSocket, frame: Frame): void {
        if (socket !== this.socket) {
            return;
        }
        this.heardAtMs = nowMs();
        this.isDoubted = false;
        if (frame.kind === FrameKind.Welcome) {
            this.welcome(frame.gateRun);
        }
        else if (frame.kind === FrameKind.Reply) {
            this.take(frame.key, frame.reply);
        }
    }

    private welcome(gateRun: string): void {
        this.gateRun = gateRun;
        this.failures = 0;
        this.setBroken(false, "");
        this.outstanding.forEach((outstanding) => this.transmit(outstanding));
    }

    private transmit(outstanding: Outstanding): void {
        outstanding.sentAtMs = nowMs();
        outstanding.hasReply = false;
        if (outstanding.needsResume) {
            this.socket?.send({ kind: FrameKind.Resume, key: outstanding.offer.key, gateRun: outstanding.gateRun ?? "" });
            return;
        }
        outstanding.gateRun = this.gateRun;
        const remainingMs = outstanding.deadlineAtMs - nowMs();
        this.socket?.send({ kind: FrameKind.Offer, offer: { ...outstanding.offer, remainingMs } });
    }

    private take(key: string, reply: GateReply): void {
        const outstanding = this.outstanding.get(key);
        if (outstanding === undefined) {
            return;
        }
        outstanding.hasReply = true;
        if (reply.kind === GateReplyKind.Granted) {
            outstanding.hasGone = true;
            this.socket?.send({ kind: FrameKind.Go, key });
            outstanding.onReply({ kind: GateReplyKind.Started });
            return;
        }
        if (isFinalReply(reply)) {
            this.outstanding.delete(key);
        }
        outstanding.onReply(reply);
    }

    private closed(socket: TunnelSocket, problem: string): void {
        if (socket !== this.socket) {
            return;
        }
        const wasOpen = this.gateRun !== undefined;
        this.socket = undefined;
        this.gateRun = undefined;
        if (!wasOpen) {
            this.failures += 1;
            this.setBroken(true, problem);
        }
        this.lose(problem);
        if (this.outstanding.size > 0 && wasOpen) {
            this.connect();
        }
    }

    /** Settles what was under way on a connection that is gone; what must not be repeated waits for the next one. */
    private lose(problem: string): void {
        [...this.outstanding].forEach(([key, outstanding]) => {
            if (outstanding.hasGone && outstanding.offer.requestKind === RequestKind.Once && !this.isClosed) {
                outstanding.needsResume = true;
                return;
            }
            this.outstanding.delete(key);
            outstanding.onReply(outstanding.hasGone ? { kind: GateReplyKind.Broken, problem, lostEndpoint: false } : UNREACHABLE);
        });
    }

    /** Offers that the gate has not granted are taken elsewhere when it says nothing: they cannot have run. */
    private abandonUnanswered(atMs: number): void {
        const unanswered = [...this.outstanding].filter(([, { hasReply, hasGone, sentAtMs }]) =>
            !hasReply && !hasGone && atMs - sentAtMs > FIRST_REPLY_MS);
        unanswered.forEach(([key, { onReply }]) => {
            this.isDoubted = true;
            this.cancel(key);
            onReply(UNREACHABLE);
        });
    }

    private dropOverdue(atMs: number): void {
        [...this.outstanding].filter(([, { deadlineAtMs }]) => deadlineAtMs <= atMs).forEach(([key, { onReply }]) => {
            this.cancel(key);
            onReply({ kind: GateReplyKind.Broken, problem: "no word of it before the deadline", lostEndpoint: false });
        });
    }

    private setBroken(isBroken: boolean, problem: string): void {
        if (this.isBroken !== isBroken) {
            this.isBroken = isBroken;
            this.onPath(!isBroken, problem);
        }
    }
}
