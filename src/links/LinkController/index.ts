import type { Socket } from "node:net";
import { WebSocket } from "ws";
import { PauseWatch } from "../../clock/PauseWatch/index.js";
import { nowMs } from "../../clock/nowMs/index.js";
import { HandshakeGuard } from "../../frames/HandshakeGuard/index.js";
import { limitMessageRate } from "../../frames/limitMessageRate/index.js";
import { PeerServer } from "../../frames/PeerServer/index.js";
import { RefusalListener } from "../../logs/RefusalListener.js";
import { SocketBudget } from "../../frames/SocketBudget/index.js";
import { ConfigurationVersion } from "../../model/ConfigurationVersion.js";
import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { toError } from "../../model/toError/index.js";
import { StartWaits } from "../../starts/StartWaits/index.js";
import { LINK_LIMITS } from "../linkLimits.js";
import { LinkBytes } from "../LinkBytes.js";
import { LinkHandler } from "../LinkHandler.js";
import { LinkSettings } from "../LinkSettings.js";
import { Message } from "../Message.js";
import { MessageKind } from "../MessageKind.js";
import { WsLink } from "../WsLink/index.js";
import { WsLinkOptions } from "../WsLinkOptions.js";

const HEARTBEAT_INTERVAL_MS = 1_000;
/** Time after which a link is closed if no message was received or no own heartbeat was acknowledged, in ms. */
const HEARTBEAT_TIMEOUT_MS = 3_500;
const CONNECT_TIMEOUT_MS = 1_000;
/** Rate of messages that is read from one peer; many times that of a control VM whose configuration changes all the time. */
const MESSAGE_RATE = { perSecond: 500, burst: 2_000 };
/** Number of heartbeats whose send times are kept. */
const MAX_SENT_TIMES = 64;

interface LinkHealth {
    sequence: number;
    /** Send times of the latest heartbeats, indexed by sequence modulo the length. */
    readonly sentAtMs: number[];
    /** Sequence of the last heartbeat received from the peer. */
    receivedSequence: number;
    /** Time at which the last message of any kind was received. */
    receivedAtMs: number;
    /** Send time of the newest own heartbeat that the peer has acknowledged. */
    acknowledgedAtMs: number;
}

/** Manages the links of a process: accepts and opens them, checks both directions with heartbeats, and routes calls. */
export class LinkController {
    /** Payload bytes over all links since the process started. */
    readonly bytes: LinkBytes = { sent: 0, received: 0, sentToOtherDomains: 0 };
    private readonly links = new Map<WsLink, LinkHealth>();
    private readonly byVm = new Map<string, WsLink>();
    private readonly pendingConnects = new Map<string, Promise<WsLink | undefined>>();
    private readonly pauseWatch = PauseWatch.create();
    private readonly timer = setInterval(() => this.sendHeartbeats(), HEARTBEAT_INTERVAL_MS);
    private readonly handshakeGuard: HandshakeGuard;
    private readonly budget: SocketBudget;
    private server: PeerServer | undefined;

    private constructor(
        private readonly settings: LinkSettings,
        private readonly handler: LinkHandler,
        private readonly position: () => ConfigurationVersion,
        private readonly onError: (error: FleetError) => void,
        private readonly recordRefusal: RefusalListener,
    ) {
        this.budget = SocketBudget.create("links", LINK_LIMITS, recordRefusal);
        this.handshakeGuard = HandshakeGuard.create(recordRefusal);
    }

    /**
     * Starts listening for links.
     *
     * @param settings - Identity, address and fleet key.
     * @param handler - Callbacks for link events.
     * @param position - Returns the configuration position to announce to peers.
     * @param onError - Called when a link fails.
     * @param recordRefusal - Called when a peer is closed because of a limit on what this process holds; without it, `onError` is called.
     * @param waits - Waits for a port that is held; without it, that is an error.
     * @throws FleetError if the process cannot listen on the port.
     */
    static async create(
        settings: LinkSettings,
        handler: LinkHandler,
        position: () => ConfigurationVersion,
        onError: (error: FleetError) => void,
        recordRefusal: RefusalListener = (holder, held, limit, peer = "unknown") =>
            onError(FleetError.create({ step: Step.Link, peer }, `${holder}: ${held} of ${limit}`)),
        waits?: StartWaits,
    ): Promise<LinkController> {
        const peer = `${settings.host}:${settings.port}`;
        const links = new LinkController(settings, handler, position, onError, recordRefusal);
        try {
            links.server = await PeerServer.create({
                host: settings.host,
                port: settings.port,
                name: "links.port",
                maxFrameBytes: LINK_LIMITS.maxFrameBytes,
                isAuthorized: () => true,
                recordRefusal: links.recordRefusal,
                onError: (cause) => onError(FleetError.create({ step: Step.Link, peer, cause }, cause.message)),
                waits,
            }, (webSocket, networkSocket) => links.accept(webSocket, networkSocket));
        }
        catch (thrown) {
            await links.close();
            throw thrown;
        }
        return links;
    }

    /** Size of the messages that peers have not read, in bytes. */
    get bufferedBytes(): number {
        return this.budget.bufferedBytes;
    }

    /** Time since which this process has run without a pause, in ms; negative infinity if it never paused. */
    get resumedAtMs(): number {
        return this.pauseWatch.resumedAtMs;
    }

    /** VMs with an open link. */
    get linkedVms(): ReadonlySet<string> {
        return new Set(this.byVm.keys());
    }

    /** Opens a link to an address, or joins an attempt in progress; resolves to undefined if the attempt fails. Never rejects. */
    connect(address: string): Promise<WsLink | undefined> {
        const pending = this.pendingConnects.get(address);
        if (pending !== undefined) {
            return pending;
        }
        const attempt = this.open(address).catch((thrown: unknown): undefined => {
            const cause = toError(thrown);
            this.onError(FleetError.create({ step: Step.Link, peer: address, cause }, cause.message));
        }).finally(() => this.pendingConnects.delete(address));
        this.pendingConnects.set(address, attempt);
        return attempt;
    }

    /** Sends a message to all linked peers, except optionally one. */
    broadcast(message: Message, exceptVm?: string): void {
        this.byVm.forEach((link, vm) => {
            if (vm !== exceptVm) {
                link.send(message);
            }
        });
    }

    /** Sends a message to a linked peer; returns false if there is no link. */
    sendTo(vm: string, message: Message): boolean {
        const link = this.byVm.get(vm);
        link?.send(message);
        return link !== undefined;
    }

    /** Closes the link to a VM. */
    closeLink(vm: string): void {
        this.byVm.get(vm)?.close();
    }

    /** Calls a VM over its link, opening one if needed; resolves to undefined if no reply arrives in time. */
    async call(vm: string, address: string, message: Message, timeoutMs: number): Promise<Message | undefined> {
        const link = this.byVm.get(vm) ?? await this.connect(address);
        return link?.call(message, timeoutMs);
    }

    /** Sends the configuration position to all peers immediately, with a heartbeat. */
    announcePosition(): void {
        this.links.forEach((health, link) => this.sendHeartbeat(link, health));
    }

    /** Closes all links and stops listening. */
    async close(): Promise<void> {
        clearInterval(this.timer);
        this.pauseWatch.close();
        [...this.links.keys()].forEach((link) => link.close());
        await this.server?.close();
    }

    private accept(socket: WebSocket, networkSocket: Socket): void {
        this.budget.watch(socket, networkSocket);
        this.limitRate(socket, networkSocket.remoteAddress ?? "unknown");
        const endGuard = this.handshakeGuard.watch(socket, networkSocket);
        const options = this.createLinkOptions(true, networkSocket.remoteAddress ?? "unknown");
        WsLink.create(socket, {
            ...options,
            onOpen: (link) => {
                endGuard();
                options.onOpen(link);
            },
        });
    }

    private async open(address: string): Promise<WsLink | undefined> {
        const socket = new WebSocket(`ws://${address}`, {
            handshakeTimeout: CONNECT_TIMEOUT_MS,
            perMessageDeflate: false,
            maxPayload: LINK_LIMITS.maxFrameBytes,
            maxFragments: 1,
        });
        this.budget.watchOnceOpen(socket);
        this.limitRate(socket, address);
        return new Promise((resolve) => {
            const options = this.createLinkOptions(false, address);
            const timer = setTimeout(() => {
                socket.terminate();
                resolve(undefined);
            }, CONNECT_TIMEOUT_MS);
            WsLink.create(socket, {
                ...options,
                onOpen: (link) => {
                    clearTimeout(timer);
                    options.onOpen(link);
                    resolve(link);
                },
                onClose: (link, wasOpen) => {
                    clearTimeout(timer);
                    options.onClose(link, wasOpen);
                    resolve(undefined);
                },
            });
        });
    }

    private limitRate(socket: WebSocket, peer: string): void {
        limitMessageRate(socket, MESSAGE_RATE, () => this.recordRefusal("messages per second of a link", MESSAGE_RATE.perSecond, MESSAGE_RATE.perSecond, peer));
    }

    private createLinkOptions(isServer: boolean, address: string): WsLinkOptions {
        return {
            identity: this.settings.identity,
            fleetKey: this.settings.fleetKey,
            isServer,
            address,
            bytes: this.bytes,
            budget: this.budget,
            onOpen: (link) => this.addLink(link),
            onMessage: (link, message) => this.handleMessage(link, message),
            onCall: (link, message) => this.handler.onCall(link, message),
            onClose: (link, wasOpen) => this.removeLink(link, wasOpen),
            onError: this.onError,
            onMessageError: (error) => this.handler.onMessageError(error),
        };
    }

    private addLink(link: WsLink): void {
        const openedAtMs = nowMs();
        const sentAtMs = new Array<number>(MAX_SENT_TIMES).fill(openedAtMs);
        const health = { sequence: 0, sentAtMs, receivedSequence: 0, receivedAtMs: openedAtMs, acknowledgedAtMs: openedAtMs };
        this.links.set(link, health);
        this.byVm.set(link.peer.vm, link);
        this.sendHeartbeat(link, health);
        this.handler.onOpen(link);
    }

    private removeLink(link: WsLink, wasOpen: boolean): void {
        if (!wasOpen) {
            return;
        }
        this.links.delete(link);
        const { vm } = link.peer;
        if (this.byVm.get(vm) === link) {
            const other = [...this.links.keys()].find((candidate) => candidate.peer.vm === vm);
            if (other === undefined) {
                this.byVm.delete(vm);
            }
            else {
                this.byVm.set(vm, other);
            }
        }
        this.handler.onClose(link);
    }

    private handleMessage(link: WsLink, message: Message): void {
        const health = this.links.get(link);
        if (health !== undefined) {
            health.receivedAtMs = nowMs();
        }
        if (message.kind === MessageKind.Heartbeat && health !== undefined) {
            health.receivedSequence = message.sequence;
            health.acknowledgedAtMs = health.sentAtMs[message.heard % MAX_SENT_TIMES] ?? health.acknowledgedAtMs;
        }
        this.handler.onMessage(link, message);
    }

    private sendHeartbeats(): void {
        const oldestAllowedMs = nowMs() - HEARTBEAT_TIMEOUT_MS;
        const { resumedAtMs } = this;
        this.links.forEach((health, link) => {
            const heardAtMs = Math.max(resumedAtMs, Math.min(health.receivedAtMs, health.acknowledgedAtMs));
            if (heardAtMs < oldestAllowedMs) {
                link.close();
            }
            else {
                this.sendHeartbeat(link, health);
            }
        });
    }

    private sendHeartbeat(link: WsLink, health: LinkHealth): void {
        health.sequence += 1;
        health.sentAtMs[health.sequence % MAX_SENT_TIMES] = nowMs();
        link.send({ kind: MessageKind.Heartbeat, sequence: health.sequence, heard: health.receivedSequence, position: this.position() });
    }
}
