import { once } from "node:events";
import type { Socket } from "node:net";
import { WebSocket } from "ws";
import { nowMs } from "../../clock/nowMs/index.js";
import { GateLoadReport } from "../../decisions/fleet/GateLoadReport.js";
import { ProbeInvitations } from "../../decisions/outliers/ProbeInvitations/index.js";
import { PeerServer } from "../../frames/PeerServer/index.js";
import { RefusalCause } from "../../model/RefusalCause.js";
import { RequestKind } from "../../model/RequestKind.js";
import { Frame } from "../Frame.js";
import { FrameKind } from "../FrameKind.js";
import { GateReply } from "../GateReply.js";
import { GateReplyKind } from "../GateReplyKind.js";
import { Invitation } from "../Invitation.js";
import { isFinalReply } from "../isFinalReply/index.js";
import { OfferHandle } from "../OfferHandle.js";
import { TunnelServerOptions } from "../TunnelServerOptions.js";
import { TunnelSocket } from "../TunnelSocket/index.js";
import { WorkOffer } from "../WorkOffer.js";

/** Time for which the final reply to an offer that must not be repeated is kept, in ms; longer than any deadline. */
const RETENTION_MS = 30_000;
const CLEANUP_INTERVAL_MS = 2_000;
/** Time that entries have to close their end of a tunnel, in ms: several round trips. */
const CLOSE_TIMEOUT_MS = 300;
/** Close code of a server that goes away (RFC 6455, section 7.4.1). */
const GOING_AWAY = 1_001;

interface AcceptedOffer {
    readonly offer: WorkOffer;
    handle: OfferHandle | undefined;
    /** Connection that replies are sent to, or undefined while there is none. */
    socket: TunnelSocket | undefined;
    hasStarted: boolean;
    finalReply: GateReply | undefined;
    endedAtMs: number;
}

/**
 * Server for the tunnels from entries to a gate. Keeps started offers that must not be repeated when their connection
 * fails, so that the entry can resume them, and cancels all others.
 */
export class TunnelServer {
    private readonly offers = new Map<string, AcceptedOffer>();
    private readonly invitations = ProbeInvitations.create<TunnelSocket>();
    private readonly cleanupTimer = setInterval(() => this.removeExpired(), CLEANUP_INTERVAL_MS);
    private server: PeerServer | undefined;

    private constructor(private readonly options: TunnelServerOptions) {}

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
            }, (webSocket, networkSocket) => tunnelServer.handleConnection(webSocket, networkSocket));
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
        sockets.forEach((socket) => socket.send({ kind: FrameKind.Invitation, invitation }));
    }

    /**
     * Withdraws the latest invitations, because the endpoint has had a request.
     *
     * @param load - Current load of the gate.
     */
    withdrawInvitations(load: GateLoadReport): void {
        this.invitations.end().forEach((socket) => socket.send({ kind: FrameKind.Invitation, invitation: { load, waitedMs: undefined } }));
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

    private handleConnection(webSocket: WebSocket, networkSocket: Socket): void {
        this.options.budget.watch(webSocket, networkSocket);
        const socket = TunnelSocket.create(
            webSocket,
            this.options.budget,
            (frame) => this.handleFrame(socket, frame),
            () => this.handleConnectionLoss(socket),
            (error) => this.options.onError(error),
        );
        this.invitations.addEntry(socket);
        socket.send({ kind: FrameKind.Welcome, gateRun: this.options.gateRun });
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
                this.offers.get(frame.key)?.handle?.confirm();
                return;
            case FrameKind.Cancel:
                this.handleCancel(frame.key);
                return;
            case FrameKind.Ping:
                socket.send({ kind: FrameKind.Pong });
                return;
            case FrameKind.Welcome:
            case FrameKind.Reply:
            case FrameKind.Invitation:
            case FrameKind.Pong:
                return;
        }
    }

    private handleOffer(socket: TunnelSocket, offer: WorkOffer): void {
        const existing = this.offers.get(offer.key);
        if (existing !== undefined) {
            this.reattach(socket, offer.key, existing);
            return;
        }
        this.invitations.recordRequest(socket, offer.requestKind, nowMs());
        const accepted: AcceptedOffer = { offer, handle: undefined, socket, hasStarted: false, finalReply: undefined, endedAtMs: 0 };
        this.offers.set(offer.key, accepted);
        accepted.handle = this.options.gate.offer({ ...offer, needsGo: true }, (reply) => this.handleReply(offer.key, accepted, reply));
    }

    private handleReply(key: string, accepted: AcceptedOffer, reply: GateReply): void {
        if (accepted.finalReply !== undefined) {
            return;
        }
        accepted.hasStarted ||= reply.kind === GateReplyKind.Started;
        if (isFinalReply(reply)) {
            accepted.finalReply = reply;
            accepted.endedAtMs = nowMs();
            if (accepted.offer.requestKind !== RequestKind.Once) {
                this.offers.delete(key);
            }
        }
        if (reply.kind !== GateReplyKind.Started) {
            accepted.socket?.send({ kind: FrameKind.Reply, key, reply });
        }
    }

    private handleResume(socket: TunnelSocket, key: string, gateRun: string): void {
        const existing = this.offers.get(key);
        if (existing !== undefined) {
            this.reattach(socket, key, existing);
            return;
        }
        const reply: GateReply = gateRun === this.options.gateRun
            ? this.voidOffer(key)
            : { kind: GateReplyKind.Broken, problem: "the gate has restarted since", lostEndpoint: false };
        socket.send({ kind: FrameKind.Reply, key, reply });
    }

    /** Records an unknown offer as void, so that it is refused if it still arrives. */
    private voidOffer(key: string): GateReply {
        const finalReply: GateReply = {
            kind: GateReplyKind.Refused,
            cause: RefusalCause.Voided,
            retryAfterMs: 0,
            reachedEndpoint: false,
            load: undefined,
        };
        const offer = { key, requestKind: RequestKind.Once } as WorkOffer;
        this.offers.set(key, { offer, handle: undefined, socket: undefined, hasStarted: false, finalReply, endedAtMs: nowMs() });
        return finalReply;
    }

    private reattach(socket: TunnelSocket, key: string, accepted: AcceptedOffer): void {
        accepted.socket = socket;
        const reply = accepted.finalReply ?? { kind: accepted.hasStarted ? GateReplyKind.Started as const : GateReplyKind.Queued as const };
        socket.send({ kind: FrameKind.Reply, key, reply });
    }

    private handleCancel(key: string): void {
        const accepted = this.offers.get(key);
        if (accepted !== undefined && accepted.finalReply === undefined) {
            accepted.handle?.cancel();
            this.offers.delete(key);
        }
    }

    /** Cancels the unfinished offers of a lost connection that have not started or that the entry repeats elsewhere. */
    private handleConnectionLoss(socket: TunnelSocket): void {
        this.invitations.removeEntry(socket);
        [...this.offers].filter(([, accepted]) => accepted.socket === socket && accepted.finalReply === undefined).forEach(([key, accepted]) => {
            accepted.socket = undefined;
            if (accepted.offer.requestKind !== RequestKind.Once) {
                this.handleCancel(key);
            }
            else if (!accepted.hasStarted) {
                accepted.handle?.cancel();
                this.voidOffer(key);
            }
        });
    }

    private removeExpired(): void {
        const beforeMs = nowMs() - RETENTION_MS;
        [...this.offers]
            .filter(([, accepted]) => accepted.finalReply !== undefined && accepted.endedAtMs < beforeMs)
            .forEach(([key]) => this.offers.delete(key));
    }
}
