import { setAlignedInterval } from "../../clock/setAlignedInterval/index.js";
import { nowMs } from "../../clock/nowMs/index.js";
import { ControlPeer } from "../../links/ControlPeer.js";
import { LinkController } from "../../links/LinkController/index.js";
import { LinkHandler } from "../../links/LinkHandler.js";
import { PeerLink } from "../../links/PeerLink.js";
import { Message } from "../../links/Message.js";
import { MessageKind } from "../../links/MessageKind.js";
import { BudgetLog } from "../../logs/BudgetLog/index.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { FleetError } from "../../model/FleetError.js";
import { Role } from "../../model/Role.js";
import { StartWaits } from "../../starts/StartWaits/index.js";
import { ControlAddresses } from "../ControlAddresses/index.js";
import { MAX_CONTROL_VMS } from "../maxControlVms.js";
import { LinkedPeers } from "../LinkedPeers/index.js";
import { MeshSettings } from "../MeshSettings.js";

const DIAL_INTERVAL_MS = 200;
const BROADCAST_INTERVAL_MS = 2_000;
/** Maximum number of consecutive broadcasts that are skipped while the known control VMs do not change. */
const MAX_SKIPPED_BROADCASTS = 5;

/** Links of a process to the control VMs. Connects to every known control VM, and shares the known ones with linked VMs. */
export class MeshLinks {
    private readonly timerStops: (() => void)[] = [];
    private readonly peers = LinkedPeers.create();
    private readonly pendingDials = new Set<string>();
    private lastBroadcast = "";
    private skippedBroadcasts = 0;

    private constructor(
        private readonly links: LinkController,
        /** Addresses of the known control VMs. */
        readonly controlAddresses: ControlAddresses,
        private readonly ownPeer: () => ControlPeer | undefined,
        private readonly budgetLog: BudgetLog,
    ) {
        this.timerStops.push(
            setAlignedInterval(DIAL_INTERVAL_MS, () => this.dial()),
            setAlignedInterval(BROADCAST_INTERVAL_MS, () => this.broadcastPeers()),
        );
    }

    /**
     * Creates the links of a process and starts connecting.
     *
     * @param settings - Settings of the process.
     * @param role - Role of the process.
     * @param handler - Handles messages and changes of links.
     * @param ownPeer - Returns the announcement of this process if it is a control VM.
     * @param position - Returns the log position up to which this process has applied the configuration.
     * @param events - Event log.
     * @param waits - Waits for a port that is held; without it, that is an error.
     * @throws FleetError if the process cannot listen on the port.
     */
    static async create(
        settings: MeshSettings,
        role: Role,
        handler: LinkHandler,
        ownPeer: () => ControlPeer | undefined,
        position: () => number,
        events: EventLog,
        waits?: StartWaits,
    ): Promise<MeshLinks> {
        const { vm, links: { firstPort, fleetKey } } = settings;
        const linkAddress = `${vm.ip}:${firstPort}`;
        const controlAddresses = ControlAddresses.create(linkAddress);
        const budgetLog = BudgetLog.create(events);
        const started: { mesh?: MeshLinks } = {};
        const links = await LinkController.create(
            {
                identity: { vm: vm.name, startedAtMs: Date.now(), failureDomain: vm.failureDomain, roles: [role], linkAddress },
                host: vm.ip,
                port: firstPort,
                fleetKey,
            },
            {
                onOpen: (link) => {
                    events.record(EventNumber.LinkOpened, { peer: link.peer.vm });
                    started.mesh?.handleOpen(link);
                    handler.onOpen(link);
                },
                onMessage: (link, message) => started.mesh?.handleMessage(link, message, handler),
                onCall: (link, message) => handler.onCall(link, message),
                onClose: (link) => {
                    events.record(EventNumber.LinkClosed, { peer: link.peer.vm });
                    handler.onClose(link);
                },
                onMessageError: (error) => handler.onMessageError(error),
            },
            () => ({ term: 0, version: position(), manifestVersion: 0 }),
            (error: FleetError) => events.record(EventNumber.LinkRefused, { error: error.message }),
            budgetLog.recordRefusal.bind(budgetLog),
            waits,
        );
        started.mesh = new MeshLinks(links, controlAddresses, ownPeer, budgetLog);
        started.mesh.setSeeds(settings);
        return started.mesh;
    }

    /** VMs with an open link. */
    get linkedVms(): ReadonlySet<string> {
        return this.links.linkedVms;
    }

    /** Size of the messages that linked VMs have not read, in bytes. */
    get bufferedBytes(): number {
        return this.links.bufferedBytes;
    }

    /** Bytes that this process has sent to other failure domains over its links. */
    get bytesSentToOtherDomains(): number {
        return this.links.bytes.sentToOtherDomains;
    }

    /** End of the latest pause of this process, in ms; negative infinity if there was none. */
    get resumedAtMs(): number {
        return this.links.resumedAtMs;
    }

    /** Sets the seeds of new settings and connects to them. */
    setSeeds(settings: MeshSettings): void {
        const { firstPort, seeds } = settings.links;
        this.controlAddresses.setSeeds(seeds.map((seed) => `${seed.split(":")[0] ?? ""}:${firstPort}`));
        this.dial();
    }

    /** Returns the time since which a VM is silent while this process runs, in ms; negative infinity if it is not remembered. */
    silentSinceMs(vm: string): number {
        const messageAtMs = this.peers.lastMessageAtMs(vm);
        return messageAtMs === Number.NEGATIVE_INFINITY ? messageAtMs : Math.max(messageAtMs, this.resumedAtMs);
    }

    /** Returns the log position that a VM stated in its last heartbeat. */
    positionOf(vm: string): number {
        return this.peers.positionOf(vm);
    }

    /** Sends a message to a linked VM. Returns false if there is no link. */
    sendTo(vm: string, message: Message): boolean {
        return this.links.sendTo(vm, message);
    }

    /** Calls a VM. Returns undefined if no reply arrives in time. */
    call(peer: ControlPeer, message: Message, timeoutMs: number): Promise<Message | undefined> {
        return this.links.call(peer.vm, peer.linkAddress, message, timeoutMs);
    }

    /** Closes all links. */
    close(): void {
        this.timerStops.forEach((stop) => stop());
        void this.links.close();
    }

    /** Returns the failure domain of a VM that has been linked. */
    failureDomainOf(vm: string): string | undefined {
        return this.peers.failureDomainOf(vm);
    }

    private handleOpen(link: PeerLink): void {
        this.peers.recordOpen(link.peer.vm, link.peer.failureDomain, nowMs());
        link.send(this.createPeersMessage());
    }

    private handleMessage(link: PeerLink, message: Message, handler: LinkHandler): void {
        this.peers.recordMessage(link.peer.vm, message.kind === MessageKind.Heartbeat ? message.position.version : undefined, nowMs());
        if (message.kind === MessageKind.ControlPeers) {
            if (message.self !== undefined) {
                this.controlAddresses.recordAnnounced(message.self);
            }
            const refusedCount = this.controlAddresses.recordReported(message.peers);
            if (refusedCount > 0) {
                this.budgetLog.recordRefusal("control VMs", this.controlAddresses.peers.length + refusedCount, MAX_CONTROL_VMS, link.peer.vm);
            }
            return;
        }
        handler.onMessage(link, message);
    }

    private dial(): void {
        const linkedAddresses = new Set(this.controlAddresses.peers.filter(({ vm }) => this.linkedVms.has(vm)).map(({ linkAddress }) => linkAddress));
        this.controlAddresses.addresses.filter((address) => !linkedAddresses.has(address) && !this.pendingDials.has(address)).forEach((address) => {
            this.pendingDials.add(address);
            void this.links.connect(address).finally(() => this.pendingDials.delete(address));
        });
    }

    private broadcastPeers(): void {
        const message = this.createPeersMessage();
        const text = JSON.stringify(message);
        this.skippedBroadcasts = text === this.lastBroadcast && this.skippedBroadcasts < MAX_SKIPPED_BROADCASTS ? this.skippedBroadcasts + 1 : 0;
        if (this.skippedBroadcasts > 0) {
            return;
        }
        this.lastBroadcast = text;
        this.linkedVms.forEach((vm) => this.links.sendTo(vm, message));
    }

    private createPeersMessage(): Message {
        return { kind: MessageKind.ControlPeers, self: this.ownPeer(), peers: this.controlAddresses.peers };
    }
}
