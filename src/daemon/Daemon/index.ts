import { randomBytes } from "node:crypto";
import type { Server } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { nowMs } from "../../clock/nowMs/index.js";
import { ConfigurationController } from "../../controllers/ConfigurationController/index.js";
import { LinkNetwork } from "../../controllers/LinkNetwork.js";
import { MembershipController } from "../../controllers/MembershipController/index.js";
import { listenHttp } from "../../http/listenHttp/index.js";
import { InvariantMonitor } from "../../invariants/InvariantMonitor/index.js";
import { LinkController } from "../../links/LinkController/index.js";
import { PeerLink } from "../../links/PeerLink.js";
import { Message } from "../../links/Message.js";
import { MessageKind } from "../../links/MessageKind.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { FleetError } from "../../model/FleetError.js";
import { MemberRecord } from "../../model/MemberRecord.js";
import { MemberState } from "../../model/MemberState.js";
import { Role } from "../../model/Role.js";
import { createOperatorApp } from "../../operators/createOperatorApp/index.js";
import { Settings } from "../../settings/Settings.js";
import { applyManifest } from "../applyManifest/index.js";
import { ControlRole } from "../ControlRole/index.js";
import { describeDaemon } from "../describeDaemon/index.js";
import { describeEndpoints } from "../describeEndpoints/index.js";
import { findConfigurationWarnings } from "../findConfigurationWarnings/index.js";
import { ProxyRole } from "../ProxyRole/index.js";

const INCARNATION_BYTES = 6;
/** Time for the state `left` to reach the other members before the links close, in ms. */
const LEFT_PROPAGATION_MS = 200;

/** A process of the fleet: its links, membership and configuration, and the roles that its settings enable. */
export class Daemon {
    private links: LinkController | undefined;
    private membership: MembershipController | undefined;
    private proxy: ProxyRole | undefined;
    private control: ControlRole | undefined;
    private operatorServer: Server | undefined;
    private stopPromise: Promise<void> | undefined;
    private isClosing = false;
    private readonly configuration: ConfigurationController;
    private readonly incarnation: string;

    private constructor(private readonly settings: Settings, private readonly events: EventLog) {
        this.configuration = ConfigurationController.create(events);
        this.incarnation = `${settings.vm.name}@${randomBytes(INCARNATION_BYTES).toString("hex")}`;
    }

    /**
     * Starts a process.
     *
     * @param settings - Validated settings.
     * @returns The running process.
     * @throws FleetError if a port is in use or the data folder cannot be used.
     */
    static async create(settings: Settings): Promise<Daemon> {
        const daemon = new Daemon(settings, EventLog.create(settings.vm.name, settings.logs.format));
        await daemon.start();
        return daemon;
    }

    /** Drains and stops the process; resolves when no request is in flight and all links are closed. */
    stop(): Promise<void> {
        this.stopPromise ??= this.drainAndClose();
        return this.stopPromise;
    }

    private async start(): Promise<void> {
        const { settings, events } = this;
        InvariantMonitor.shared.setListener((statement, subject) => events.record(EventNumber.InvariantViolated, { statement, subject }));
        if (settings.control !== undefined && settings.roles.includes(Role.Control)) {
            this.control = await ControlRole.create(settings.control.dataFolder, settings.vm.name, this.configuration, events);
        }
        const ownRecord = this.createOwnRecord();
        this.links = await this.startLinks(ownRecord);
        const network = this.createNetwork(this.links);
        this.membership = MembershipController.create(ownRecord, settings.links.seeds, network, events, Math.random);
        if (settings.proxy !== undefined && settings.roles.includes(Role.Proxy)) {
            const { incarnation, configuration, membership, links } = this;
            this.proxy = await ProxyRole.create({ settings, ports: settings.proxy, incarnation, configuration, membership, links, network, events });
        }
        this.control?.attach(this.membership, this.links);
        this.configuration.addListener(() => this.handleConfigurationChanged());
        this.operatorServer = await this.startOperatorApi();
        events.record(EventNumber.DaemonStarted, { roles: settings.roles, incarnation: this.incarnation });
    }

    private createOwnRecord(): MemberRecord {
        const { vm, roles, links, proxy } = this.settings;
        return {
            vm: vm.name,
            startedAtMs: Date.now(),
            incarnation: this.incarnation,
            sequence: 1,
            failureDomain: vm.failureDomain,
            roles,
            state: MemberState.Serving,
            controlIdentity: this.control?.identity ?? "",
            linkAddress: `${vm.address}:${links.port}`,
            gateAddress: proxy === undefined ? "" : `${vm.address}:${proxy.gatePort}`,
            endpoints: [],
        };
    }

    private startLinks(ownRecord: MemberRecord): Promise<LinkController> {
        const { vm, links } = this.settings;
        const { startedAtMs, failureDomain, roles, linkAddress } = ownRecord;
        return LinkController.create(
            {
                identity: { vm: vm.name, startedAtMs, failureDomain, roles, linkAddress },
                host: vm.address,
                port: links.port,
                fleetKey: links.fleetKey,
            },
            {
                onOpen: (link) => this.handleLinkOpened(link),
                onMessage: (link, message) => this.handleMessage(link, message),
                onCall: (_link, message) => this.handleCall(message),
                onClose: (link) => this.handleLinkClosed(link),
                onMessageError: (error) => this.events.record(EventNumber.MessageFailed, { error: error.message }),
            },
            () => this.configuration.view.position,
            (error: FleetError) => this.events.record(EventNumber.LinkRefused, { error: error.message }),
        );
    }

    private createNetwork(links: LinkController): LinkNetwork {
        const isClosing = (): boolean => this.isClosing;
        return {
            get linkedVms() {
                return links.linkedVms;
            },
            get isClosing() {
                return isClosing();
            },
            connect: async (address) => await links.connect(address) !== undefined,
            closeLink: (vm) => links.closeLink(vm),
            broadcast: (message, exceptVm) => links.broadcast(message, exceptVm),
            sendTo: (vm, message) => links.sendTo(vm, message),
        };
    }

    private startOperatorApi(): Promise<Server> {
        const { operator } = this.settings;
        const { control } = this;
        const app = createOperatorApp({
            status: () => describeDaemon(this.settings, this.incarnation, this.configuration, this.membership, this.links, this.proxy),
            endpoints: () => describeEndpoints(this.membership, this.proxy),
            explain: (text) => this.events.find(text),
            drain: (endpointId) => this.drain(endpointId),
            control: control === undefined
                ? undefined
                : {
                        status: () => control.status(),
                        bootstrap: () => control.bootstrap(),
                        changeVoters: (name, shouldAdd) => control.changeVoters(name, shouldAdd),
                        apply: (text, fileName, basedOnVersion, changeId) =>
                            applyManifest(control, this.events, text, fileName, basedOnVersion, changeId),
                    },
        }, operator.token);
        return listenHttp(operator.host, operator.port, "operator.port", app);
    }

    private handleLinkOpened(link: PeerLink): void {
        this.events.record(EventNumber.LinkOpened, { peer: link.peer.vm });
        this.membership?.handleOpen(link);
    }

    private handleLinkClosed(link: PeerLink): void {
        this.events.record(EventNumber.LinkClosed, { peer: link.peer.vm });
        if (!this.isClosing) {
            void this.membership?.handleClose(link);
        }
    }

    private handleMessage(link: PeerLink, message: Message): void {
        switch (message.kind) {
            case MessageKind.Heartbeat:
                this.proxy?.handleMessage(link, message);
                this.configuration.handlePeerPosition(link, message.position);
                return;
            case MessageKind.ConfigurationFetch: {
                const reply = this.configuration.handleFetch(message.have);
                if (reply !== undefined) {
                    link.send(reply);
                }
                return;
            }
            case MessageKind.ConfigurationChanges:
                this.configuration.installChanges(message.changes);
                return;
            case MessageKind.ConfigurationSnapshot:
                this.configuration.installSnapshot(message.position, message.parts);
                return;
            case MessageKind.Quorum:
                this.control?.handleMessage(message.from, message.message);
                return;
            default:
                this.proxy?.handleMessage(link, message);
                this.membership?.handleMessage(link, message);
        }
    }

    private async handleCall(message: Message): Promise<Message | undefined> {
        return message.kind === MessageKind.Apply ? this.control?.handleApply(message.request) : this.proxy?.handleCall(message);
    }

    private handleConfigurationChanged(): void {
        this.links?.announcePosition();
        this.proxy?.endpoints.configure();
        const members = this.membership?.directory.live() ?? [];
        findConfigurationWarnings(this.configuration.view, members).forEach((warning) => {
            this.events.record(warning.event, { subject: warning.subject, detail: warning.detail });
        });
    }

    private drain(endpointId: string | undefined): boolean {
        if (endpointId !== undefined) {
            return this.proxy?.endpoints.drain(endpointId) ?? false;
        }
        this.proxy?.startDrain();
        return true;
    }

    private async drainAndClose(): Promise<void> {
        this.events.record(EventNumber.DaemonStopping, {});
        this.membership?.setState(MemberState.Draining);
        await this.proxy?.drain();
        this.membership?.setState(MemberState.Left);
        await delay(LEFT_PROPAGATION_MS);
        this.isClosing = true;
        this.membership?.close();
        this.control?.close();
        this.proxy?.close();
        await this.links?.close();
        this.operatorServer?.close();
        this.operatorServer?.closeAllConnections();
        this.events.record(EventNumber.DaemonStopped, { uptimeMs: Math.round(nowMs()) });
    }
}
