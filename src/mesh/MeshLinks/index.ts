import { setAlignedInterval } from "../../clock/setAlignedInterval/index.js";
import { nowMs } from "../../clock/nowMs/index.js";
import { ControlPeer } from "../../links/ControlPeer.js";
import { LinkController } from "../../links/LinkController/index.js";
import { LinkHandler } from "../../links/LinkHandler.js";
import { PeerLink } from "../../links/PeerLink.js";
import { Message } from "../../links/Message.js";
import { MessageKind } from "../../links/MessageKind.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { FleetError } from "../../model/FleetError.js";
import { Role } from "../../model/Role.js";
import { ControlAddresses } from "../ControlAddresses/index.js";
import { MeshSettings } from "../MeshSettings.js";

const DIAL_MS = 200;
const TELL_PEERS_MS = 2_000;
/** Times at which nothing new is told of the control VMs, before it is told again all the same. */
const MAX_UNTOLD = 5;

/** Links of a process to the control VMs: dials all that it knows of, and passes on what it has heard of others. */
export class MeshLinks {
    private readonly stops: (() => void)[] = [];
    private readonly heardAtMs = new Map<string, number>();
    private readonly positions = new Map<string, number>();
    private readonly failureDomains = new Map<string, string>();
    private readonly dialling = new Set<string>();
    private toldPeers = "";
    private untold = 0;

    private constructor(
        private readonly links: LinkController,
        /** Control VMs known. */
        readonly known: ControlAddresses,
        private readonly ownPeer: () => ControlPeer | undefined,
    ) {
        this.stops.push(setAlignedInterval(DIAL_MS, () => this.dial()), setAlignedInterval(TELL_PEERS_MS, () => this.tellPeers()));
    }

    /**
     * Starts the links of a process.
     *
     * @param settings - Settings of the process.
     * @param role - Its role.
     * @param handler - What to do with messages.
     * @param ownPeer - What this process says of itself if it is a control VM.
     * @param position - Position in the log up to which this process has applied changes of the configuration.
     * @param events - Log.
     * @throws FleetError if the port cannot be listened on.
     */
    static async create(
        settings: MeshSettings,
        role: Role,
        handler: LinkHandler,
        ownPeer: () => ControlPeer | undefined,
        position: () => number,
        events: EventLog,
    ): Promise<MeshLinks> {
        const { vm, links: { firstPort, fleetKey } } = settings;
        const linkAddress = `${vm.ip}:${firstPort}`;
        const known = ControlAddresses.create(linkAddress);
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
                    started.mesh?.opened(link);
                    handler.onOpen(link);
                },
                onMessage: (link, message) => started.mesh?.receive(link, message, handler),
                onCall: (link, message) => handler.onCall(link, message),
                onClose: (link) => {
                    events.record(EventNumber.LinkClosed, { peer: link.peer.vm });
                    handler.onClose(link);
                },
            },
            () => ({ term: 0, version: position(), manifestVersion: 0 }),
            (error: FleetError) => events.record(EventNumber.LinkRefused, { error: error.message }),
        );
        started.mesh = new MeshLinks(links, known, ownPeer);
        started.mesh.setSeeds(settings);
        return started.mesh;
    }

    /** VMs with an open link. */
    get linkedVms(): ReadonlySet<string> {
        return this.links.linkedVms;
    }

    /** Takes the seeds of new settings. */
    setSeeds(settings: MeshSettings): void {
        const { firstPort, seeds } = settings.links;
        this.known.setSeeds(seeds.map((seed) => `${seed.split(":")[0] ?? ""}:${firstPort}`));
        this.dial();
    }

    /** Time at which a linked VM was last heard, in ms. */
    lastHeardMs(vm: string): number {
        return this.heardAtMs.get(vm) ?? Number.NEGATIVE_INFINITY;
    }

    /** Position in the log that a linked VM has stated. */
    positionOf(vm: string): number {
        return this.positions.get(vm) ?? 0;
    }

    /** Sends a message to a linked VM; false if there is no link. */
    sendTo(vm: string, message: Message): boolean {
        return this.links.sendTo(vm, message);
    }

    /** Calls a linked VM; undefined if no reply came in time. */
    call(peer: ControlPeer, message: Message, timeoutMs: number): Promise<Message | undefined> {
        return this.links.call(peer.vm, peer.linkAddress, message, timeoutMs);
    }

    /** Closes all links. */
    close(): void {
        this.stops.forEach((stop) => stop());
        void this.links.close();
    }

    /** Failure domain of a VM that has been linked. */
    failureDomainOf(vm: string): string | undefined {
        return this.failureDomains.get(vm);
    }

    private opened(link: PeerLink): void {
        this.failureDomains.set(link.peer.vm, link.peer.failureDomain);
        this.heardAtMs.set(link.peer.vm, nowMs());
        link.send(this.peersMessage());
    }

    private receive(link: PeerLink, message: Message, handler: LinkHandler): void {
        this.heardAtMs.set(link.peer.vm, nowMs());
        if (message.kind === MessageKind.Heartbeat) {
            this.positions.set(link.peer.vm, message.position.version);
        }
        if (message.kind === MessageKind.ControlPeers) {
            if (message.self !== undefined) {
                this.known.hearSelf(message.self);
            }
            this.known.hearOf(message.peers);
            return;
        }
        handler.onMessage(link, message);
    }

    private dial(): void {
        const linked = new Set(this.known.peers.filter(({ vm }) => this.linkedVms.has(vm)).map(({ linkAddress }) => linkAddress));
        this.known.addresses.filter((address) => !linked.has(address) && !this.dialling.has(address)).forEach((address) => {
            this.dialling.add(address);
            void this.links.connect(address).finally(() => this.dialling.delete(address));
        });
    }

    private tellPeers(): void {
        const message = this.peersMessage();
        const text = JSON.stringify(message);
        this.untold = text === this.toldPeers && this.untold < MAX_UNTOLD ? this.untold + 1 : 0;
        if (this.untold > 0) {
            return;
        }
        this.toldPeers = text;
        this.linkedVms.forEach((vm) => this.links.sendTo(vm, message));
    }

    private peersMessage(): Message {
        return { kind: MessageKind.ControlPeers, self: this.ownPeer(), peers: this.known.peers };
    }
}
