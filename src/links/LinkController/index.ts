import { once } from "node:events";
import { WebSocket, WebSocketServer } from "ws";
import { nowMs } from "../../clock/nowMs/index.js";
import { ConfigurationVersion } from "../../model/ConfigurationVersion.js";
import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { toError } from "../../model/toError/index.js";
import { LinkBytes } from "../LinkBytes.js";
import { LinkHandler } from "../LinkHandler.js";
import { LinkSettings } from "../LinkSettings.js";
import { Message } from "../Message.js";
import { MessageKind } from "../MessageKind.js";
import { WsLink } from "../WsLink/index.js";
import { WsLinkOptions } from "../WsLinkOptions.js";

const HEARTBEAT_MS = 1_000;
const SILENCE_MS = 3_500;
const CONNECT_TIMEOUT_MS = 1_000;
const SENT_TIMES = 64;
const MAX_FRAME_BYTES = 64 * 1_024 * 1_024;

interface LinkHealth {
    sequence: number;
    /** Times at which the latest heartbeats were sent, by sequence modulo the length. */
    readonly sentAtMs: number[];
    heard: number;
    heardAtMs: number;
    /** Time at which the peer last proved that it hears us. */
    echoedAtMs: number;
}

/** Owns the links of a process: accepts and opens them, proves them alive both ways, and routes calls. */
export class LinkController {
    /** Payload bytes over all links since the start. */
    readonly bytes: LinkBytes = { sent: 0, received: 0 };
    private readonly links = new Map<WsLink, LinkHealth>();
    private readonly byVm = new Map<string, WsLink>();
    private readonly opening = new Map<string, Promise<WsLink | undefined>>();
    private readonly timer: NodeJS.Timeout;

    private constructor(
        private readonly settings: LinkSettings,
        private readonly server: WebSocketServer,
        private readonly handler: LinkHandler,
        private readonly position: () => ConfigurationVersion,
        private readonly onError: (error: FleetError) => void,
    ) {
        this.timer = setInterval(() => this.beat(), HEARTBEAT_MS);
        server.on("connection", (socket, request) => {
            WsLink.create(socket, this.linkOptions(true, request.socket.remoteAddress ?? "unknown"));
        });
    }

    /**
     * Starts to listen for links.
     *
     * @param settings - Identity, address and fleet key.
     * @param handler - What to do with messages.
     * @param position - Configuration position to tell peers of.
     * @param onError - Told of links that failed.
     * @throws FleetError if the port cannot be listened on.
     */
    static async create(
        settings: LinkSettings,
        handler: LinkHandler,
        position: () => ConfigurationVersion,
        onError: (error: FleetError) => void,
    ): Promise<LinkController> {
        const server = new WebSocketServer({
            host: settings.host,
            port: settings.port,
            maxPayload: MAX_FRAME_BYTES,
            perMessageDeflate: false,
        });
        try {
            await once(server, "listening");
        }
        catch (thrown) {
            const cause = toError(thrown);
            throw FleetError.create({ step: Step.Listen, peer: `links.port ${settings.port}`, cause }, cause.message);
        }
        return new LinkController(settings, server, handler, position, onError);
    }

    /** VMs with an open link. */
    get linkedVms(): ReadonlySet<string> {
        return new Set(this.byVm.keys());
    }

    /** Opens a link to an address unless one is being opened; resolves to undefined if that fails. */
    connect(address: string): Promise<WsLink | undefined> {
        const known = this.opening.get(address);
        if (known !== undefined) {
            return known;
        }
        const attempt = this.open(address).finally(() => this.opening.delete(address));
        this.opening.set(address, attempt);
        return attempt;
    }

    /** Sends a message to every linked peer except one. */
    broadcast(message: Message, exceptVm?: string): void {
        this.byVm.forEach((link, vm) => {
            if (vm !== exceptVm) {
                link.send(message);
            }
        });
    }

    /** Sends a message to one linked peer; tells whether there is a link. */
    sendTo(vm: string, message: Message): boolean {
        const link = this.byVm.get(vm);
        link?.send(message);
        return link !== undefined;
    }

    /** Closes the link to a VM. */
    unlink(vm: string): void {
        this.byVm.get(vm)?.close();
    }

    /** Calls a VM over its open link, or over one opened for the call; undefined if no reply came in time. */
    async call(vm: string, address: string, message: Message, timeoutMs: number): Promise<Message | undefined> {
        const link = this.byVm.get(vm) ?? await this.connect(address);
        return link?.call(message, timeoutMs);
    }

    /** Tells all peers at once of the configuration position. */
    announcePosition(): void {
        this.links.forEach((health, link) => this.sendHeartbeat(link, health));
    }

    /** Closes all links and stops listening. */
    async close(): Promise<void> {
        clearInterval(this.timer);
        [...this.links.keys()].forEach((link) => link.close());
        this.server.clients.forEach((client) => client.terminate());
        await new Promise((resolve) => this.server.close(resolve));
    }

    private async open(address: string): Promise<WsLink | undefined> {
        const socket = new WebSocket(`ws://${address}`, { handshakeTimeout: CONNECT_TIMEOUT_MS, perMessageDeflate: false });
        return new Promise((resolve) => {
            const options = this.linkOptions(false, address);
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

    private linkOptions(accepted: boolean, address: string): WsLinkOptions {
        return {
            identity: this.settings.identity,
            fleetKey: this.settings.fleetKey,
            accepted,
            address,
            bytes: this.bytes,
            onOpen: (link) => this.addLink(link),
            onMessage: (link, message) => this.receive(link, message),
            onCall: (link, message) => this.handler.onCall(link, message),
            onClose: (link, wasOpen) => this.removeLink(link, wasOpen),
            onError: this.onError,
        };
    }

    private addLink(link: WsLink): void {
        const openedAtMs = nowMs();
        const sentAtMs = new Array<number>(SENT_TIMES).fill(openedAtMs);
        const health = { sequence: 0, sentAtMs, heard: 0, heardAtMs: openedAtMs, echoedAtMs: openedAtMs };
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

    private receive(link: WsLink, message: Message): void {
        const health = this.links.get(link);
        if (health !== undefined) {
            health.heardAtMs = nowMs();
        }
        if (message.kind === MessageKind.Heartbeat && health !== undefined) {
            health.heard = message.sequence;
            health.echoedAtMs = health.sentAtMs[message.heard % SENT_TIMES] ?? health.echoedAtMs;
        }
        this.handler.onMessage(link, message);
    }

    private beat(): void {
        const silentSinceMs = nowMs() - SILENCE_MS;
        this.links.forEach((health, link) => {
            if (health.heardAtMs < silentSinceMs || health.echoedAtMs < silentSinceMs) {
                link.close();
            }
            else {
                this.sendHeartbeat(link, health);
            }
        });
    }

    private sendHeartbeat(link: WsLink, health: LinkHealth): void {
        health.sequence += 1;
        health.sentAtMs[health.sequence % SENT_TIMES] = nowMs();
        link.send({ kind: MessageKind.Heartbeat, sequence: health.sequence, heard: health.heard, position: this.position() });
    }
}
