import { once } from "node:events";
import type { IncomingHttpHeaders } from "node:http";
import type { Socket } from "node:net";
import { WebSocket } from "ws";
import { nowMs } from "../../clock/nowMs/index.js";
import { GateLoadReport } from "../../decisions/fleet/GateLoadReport.js";
import { packLoads } from "../../decisions/fleet/packLoads/index.js";
import { ProbeInvitations } from "../../decisions/outliers/ProbeInvitations/index.js";
import { BackendResponse } from "../../backend/BackendResponse.js";
import { BodyStream } from "../../backend/BodyStream.js";
import { PeerServer } from "../../frames/PeerServer/index.js";
import { estimateHeaderBytes } from "../../http/estimateHeaderBytes/index.js";
import { RefusalCause } from "../../model/RefusalCause.js";
import { RequestKind } from "../../model/RequestKind.js";
import { bodyBytesOf } from "../bodyBytesOf/index.js";
import { FAILURE_DOMAIN_HEADER } from "../failureDomainHeader.js";
import { Frame } from "../Frame.js";
import { FrameKind } from "../FrameKind.js";
import { GateReply } from "../GateReply.js";
import { GateReplyKind } from "../GateReplyKind.js";
import { Invitation } from "../Invitation.js";
import { isFinalReply } from "../isFinalReply/index.js";
import { RetainedReplies } from "../RetainedReplies/index.js";
import { OfferHandle } from "../OfferHandle.js";
import { TunnelServerOptions } from "../TunnelServerOptions.js";
import { TunnelSocket } from "../TunnelSocket/index.js";
import { WorkOffer } from "../WorkOffer.js";

const CLEANUP_INTERVAL_MS = 2_000;
/** Time that entries have to close their end of a tunnel, in ms: several round trips. */
const CLOSE_TIMEOUT_MS = 300;
/** Close code of a server that goes away (RFC 6455, section 7.4.1). */
const GOING_AWAY = 1_001;

/** Maximum number of offers without a final reply; far more than a gate queues. */
const MAX_OFFERS = 4_096;
/** Maximum size of the bodies of offers without a final reply, in bytes. */
const MAX_OFFERED_BYTES = 64 * 1_024 * 1_024;
/** Retry-after of an offer that was refused because there is too much, in ms; about the time of a request. */
const RETRY_AFTER_MS = 500;

/** Reply to an entry that resumes a request whose long response was being sent; no copy of it is kept. */
const STREAM_LOST: GateReply = { kind: GateReplyKind.Broken, problem: "the long response was lost with its tunnel", lostEndpoint: false };

/** Long response that is being sent. */
interface SentResponse {
    readonly socket: TunnelSocket;
    readonly stream: BodyStream;
}

interface AcceptedOffer {
    readonly requestKind: RequestKind;
    /** Size of the body of the request. */
    readonly lengthBytes: number;
    handle: OfferHandle | undefined;
    /** Connection that replies are sent to, or undefined while there is none. */
    socket: TunnelSocket | undefined;
    hasStarted: boolean;
    hasEnded: boolean;
}

/**
 * Server for the tunnels from entries to a gate. Keeps started offers that must not be repeated when their connection
 * fails, so that the entry can resume them, and cancels all others.
 */
export class TunnelServer {
    /** Offers without a final reply. */
    private readonly offers = new Map<string, AcceptedOffer>();
    /** Size of the bodies of these offers. */
    private offeredBytes = 0;
    private readonly retainedReplies: RetainedReplies;
    private readonly sentResponses = new Map<string, SentResponse>();
    private readonly invitations = ProbeInvitations.create<TunnelSocket>();
    /** Tunnels of entries that have stated their failure domain, and so read packed invitations. */
    private readonly packedSockets = new WeakSet<TunnelSocket>();
    private readonly cleanupTimer = setInterval(() => this.retainedReplies.removeExpired(nowMs()), CLEANUP_INTERVAL_MS);
    private sentToOtherDomains = 0;
    private server: PeerServer | undefined;

    private constructor(private readonly options: TunnelServerOptions) {
        this.retainedReplies = RetainedReplies.create(options.recordRefusal);
    }

    /**
     * Starts listening for tunnels.
     *
     * @param options - Settings and dependencies.
     * @throws FleetError if the server cannot listen on the port.
     */
    static async create(options: TunnelServerOptions): Promise<TunnelServer> {
        const tunnelServer = new TunnelServer(options);
        try {
            tunnelServer.server = await PeerServer.create({
                host: options.host,
                port: options.port,
                name: "gate port",
                maxFrameBytes: options.budget.maxFrameBytes,
                isAuthorized: (authorization) => authorization === options.token,
                recordRefusal: options.recordRefusal,
                onError: options.onError,
                waits: options.waits,
            }, (...connection) => tunnelServer.handleConnection(...connection));
        }
        catch (thrown) {
            tunnelServer.close();
            throw thrown;
        }
        return tunnelServer;
    }

    /** True while entries have an invitation. */
    get hasInvited(): boolean {
        return this.invitations.isOpen;
    }

    /** Invites some of the connected entries to send the endpoint a request. */
    invite(invitation: Invitation): void {
        const sockets = this.invitations.startRound(invitation.load.trialWish, nowMs());
        this.sendInvitation(sockets, invitation);
    }

    /**
     * Withdraws the latest invitations, because the endpoint has had a request.
     *
     * @param load - Current load of the gate.
     */
    withdrawInvitations(load: GateLoadReport): void {
        this.sendInvitation(this.invitations.end(), { load, waitedMs: undefined });
    }

    /** Size of the final replies that are kept for entries that have lost their connection, in bytes. */
    get retainedReplyBytes(): number {
        return this.retainedReplies.sizeBytes;
    }

    /** Size of the bodies and header sections of offers without a final reply, in bytes. */
    get offeredRequestBytes(): number {
        return this.offeredBytes;
    }

    /** Bytes that the gate has sent to entries in other failure domains. */
    get bytesSentToOtherDomains(): number {
        return this.sentToOtherDomains;
    }

    /** True while replies have not been handed to the operating system. */
    get hasUnsentReplies(): boolean {
        return [...this.clients].some(({ bufferedAmount }) => bufferedAmount > 0);
    }

    /** Closes all tunnels after what was sent, so that entries receive it, and resolves when they have closed their ends. */
    async shutDown(): Promise<void> {
        const clients = [...this.clients];
        const signal = AbortSignal.timeout(CLOSE_TIMEOUT_MS);
        await Promise.all(clients.map((client) => {
            client.close(GOING_AWAY);
            return once(client, "close", { signal }).catch(() => undefined);
        }));
    }

    /** Closes all tunnels immediately and stops listening. */
    close(): void {
        clearInterval(this.cleanupTimer);
        void this.server?.close();
    }

    private get clients(): ReadonlySet<WebSocket> {
        return this.server?.clients ?? new Set();
    }

    private sendInvitation(sockets: readonly TunnelSocket[], invitation: Invitation): void {
        const { load, waitedMs } = invitation;
        const packed: Frame = {
            kind: FrameKind.PackedInvitation,
            load: packLoads([load]),
            waitedMs: waitedMs === undefined ? undefined : Math.round(waitedMs),
        };
        sockets.forEach((socket) => socket.send(this.packedSockets.has(socket) ? packed : { kind: FrameKind.Invitation, invitation }));
    }

    private handleConnection(webSocket: WebSocket, networkSocket: Socket, headers: IncomingHttpHeaders): void {
        this.options.budget.watch(webSocket, networkSocket);
        const failureDomain = headers[FAILURE_DOMAIN_HEADER];
        const isLocal = failureDomain === undefined || failureDomain === encodeURIComponent(this.options.failureDomain);
        const socket = TunnelSocket.create(
            webSocket,
            this.options.budget,
            (frame) => this.handleFrame(socket, frame),
            () => this.handleConnectionLoss(socket),
            (error) => this.options.onError(error),
            (lengthBytes) => {
                this.sentToOtherDomains += isLocal ? 0 : lengthBytes;
            },
        );
        if (failureDomain !== undefined) {
            this.packedSockets.add(socket);
        }
        this.invitations.addEntry(socket, isLocal);
        socket.send({ kind: FrameKind.Welcome, gateRun: this.options.gateRun, takesDeferredBodies: true });
    }

    private handleFrame(socket: TunnelSocket, frame: Frame): void {
        switch (frame.kind) {
            case FrameKind.Offer:
                this.handleOffer(socket, frame.offer);
                return;
            case FrameKind.Resume:
                this.handleResume(socket, frame.key, frame.gateRun);
                return;
            case FrameKind.Confirm:
                this.offers.get(frame.key)?.handle?.confirm(frame.body);
                return;
            case FrameKind.Cancel:
                this.handleCancel(frame.key);
                return;
            case FrameKind.Credit:
                this.handleCredit(socket, frame.key, frame.bytes);
                return;
            case FrameKind.Message:
                this.options.onMessage?.(frame.message, (message) => socket.send({ kind: FrameKind.Message, message }));
                return;
            case FrameKind.Ping:
                socket.send({ kind: FrameKind.Pong });
                return;
            case FrameKind.Welcome:
            case FrameKind.Reply:
            case FrameKind.Head:
            case FrameKind.Chunk:
            case FrameKind.End:
            case FrameKind.Invitation:
            case FrameKind.PackedInvitation:
            case FrameKind.Pong:
                return;
        }
    }

    private handleOffer(socket: TunnelSocket, offer: WorkOffer): void {
        if (this.resume(socket, offer.key)) {
            return;
        }
        const bodyBytes = bodyBytesOf(offer);
        const lengthBytes = bodyBytes + (Array.isArray(offer.headers) ? estimateHeaderBytes(offer.headers) : 0);
        const holdingBudget = bodyBytes > 0 ? this.options.holdingBudget : undefined;
        if (this.offers.size >= MAX_OFFERS) {
            this.refuse(socket, offer.key, "offers", this.offers.size, MAX_OFFERS);
            return;
        }
        if (this.offeredBytes + lengthBytes > MAX_OFFERED_BYTES) {
            this.refuse(socket, offer.key, "bytes of offers", this.offeredBytes, MAX_OFFERED_BYTES);
            return;
        }
        if (holdingBudget?.hasRoomForRequest(lengthBytes) === false) {
            this.refuse(socket, offer.key, "request bodies of the process", holdingBudget.heldBytes, holdingBudget.limitBytes);
            return;
        }
        this.invitations.recordRequest(socket, offer.requestKind, nowMs());
        const accepted: AcceptedOffer = {
            requestKind: offer.requestKind,
            lengthBytes,
            handle: undefined,
            socket,
            hasStarted: false,
            hasEnded: false,
        };
        this.offers.set(offer.key, accepted);
        this.offeredBytes += lengthBytes;
        accepted.handle = this.options.gate.offer({ ...offer, needsGo: true }, (reply) => this.handleReply(offer.key, accepted, reply));
    }

    /** Refuses an offer that there is no room for. It has not run, and the entry can offer it elsewhere. */
    private refuse(socket: TunnelSocket, key: string, holder: string, held: number, limit: number): void {
        this.options.recordRefusal(holder, held, limit);
        const reply: GateReply = {
            kind: GateReplyKind.Refused,
            cause: RefusalCause.Busy,
            retryAfterMs: RETRY_AFTER_MS,
            reachedEndpoint: false,
            load: undefined,
        };
        socket.send({ kind: FrameKind.Reply, key, reply });
    }

    private handleReply(key: string, accepted: AcceptedOffer, reply: GateReply): void {
        if (accepted.hasEnded) {
            return;
        }
        accepted.hasStarted ||= reply.kind === GateReplyKind.Started;
        if (reply.kind === GateReplyKind.Answered && reply.answer.stream !== undefined) {
            accepted.hasEnded = true;
            const isKnown = this.removeOffer(key, accepted);
            if (isKnown && accepted.requestKind === RequestKind.Once) {
                this.retainedReplies.put(key, STREAM_LOST, nowMs());
            }
            this.sendLongResponse(key, isKnown ? accepted.socket : undefined, reply.answer, reply.answer.stream, reply.load);
            return;
        }
        if (isFinalReply(reply)) {
            accepted.hasEnded = true;
            if (this.removeOffer(key, accepted) && accepted.requestKind === RequestKind.Once) {
                this.retainedReplies.put(key, reply, nowMs());
            }
        }
        if (reply.kind !== GateReplyKind.Started) {
            accepted.socket?.send({ kind: FrameKind.Reply, key, reply });
        }
    }

    /** Sends a response in pieces, or cancels it if its entry is not connected. */
    private sendLongResponse(
        key: string,
        socket: TunnelSocket | undefined,
        { status, headers }: BackendResponse,
        stream: BodyStream,
        load: GateLoadReport | undefined,
    ): void {
        if (socket?.isOpen !== true) {
            stream.cancel();
            return;
        }
        socket.send({ kind: FrameKind.Head, key, status, headers, load });
        this.sentResponses.set(key, { socket, stream });
        stream.start({
            handleChunk: (data) => socket.send({ kind: FrameKind.Chunk, key, data }),
            handleEnd: (problem) => {
                this.sentResponses.delete(key);
                socket.send({ kind: FrameKind.End, key, problem });
            },
        });
    }

    private handleCredit(socket: TunnelSocket, key: string, bytes: unknown): void {
        const sent = this.sentResponses.get(key);
        if (sent?.socket === socket && typeof bytes === "number" && bytes > 0) {
            sent.stream.grant(bytes);
        }
    }

    private cancelLongResponse(key: string): void {
        const sent = this.sentResponses.get(key);
        this.sentResponses.delete(key);
        sent?.stream.cancel();
    }

    private handleResume(socket: TunnelSocket, key: string, gateRun: string): void {
        if (this.resume(socket, key)) {
            return;
        }
        const reply: GateReply = gateRun === this.options.gateRun
            ? this.retainedReplies.settleUnknown(key, nowMs())
            : { kind: GateReplyKind.Broken, problem: "the gate has restarted since", lostEndpoint: false };
        socket.send({ kind: FrameKind.Reply, key, reply });
    }

    /** Sends the state of an offer over a connection, which is the one for its replies from now on. Returns false if it is unknown. */
    private resume(socket: TunnelSocket, key: string): boolean {
        const accepted = this.offers.get(key);
        if (accepted !== undefined) {
            accepted.socket = socket;
            const kind = accepted.hasStarted ? GateReplyKind.Started as const : GateReplyKind.Queued as const;
            socket.send({ kind: FrameKind.Reply, key, reply: { kind } });
            return true;
        }
        const reply = this.retainedReplies.get(key);
        if (reply !== undefined) {
            socket.send({ kind: FrameKind.Reply, key, reply });
        }
        return reply !== undefined;
    }

    /** Removes an offer, unless it has been removed before. Returns whether it was there. */
    private removeOffer(key: string, accepted: AcceptedOffer): boolean {
        if (this.offers.get(key) !== accepted) {
            return false;
        }
        this.offers.delete(key);
        this.offeredBytes -= accepted.lengthBytes;
        return true;
    }

    private handleCancel(key: string): void {
        this.cancelLongResponse(key);
        const accepted = this.offers.get(key);
        if (accepted !== undefined) {
            accepted.handle?.cancel();
            this.removeOffer(key, accepted);
        }
    }

    /** Cancels the unfinished offers of a lost connection that have not started or that the entry repeats elsewhere. */
    private handleConnectionLoss(socket: TunnelSocket): void {
        this.invitations.removeEntry(socket);
        [...this.sentResponses].filter(([, sent]) => sent.socket === socket).forEach(([key]) => this.cancelLongResponse(key));
        [...this.offers].filter(([, accepted]) => accepted.socket === socket).forEach(([key, accepted]) => {
            accepted.socket = undefined;
            if (accepted.requestKind !== RequestKind.Once) {
                this.handleCancel(key);
            }
            else if (!accepted.hasStarted) {
                this.handleCancel(key);
                this.retainedReplies.putVoid(key, nowMs());
            }
        });
    }
}
