import { setTimeout as delay } from "node:timers/promises";
import { nowMs } from "../../clock/nowMs/index.js";
import { ItemController } from "../../controllers/ItemController/index.js";
import { ItemOutcome } from "../../decisions/items/ItemOutcome.js";
import { VersionedItem } from "../../decisions/items/VersionedItem.js";
import { chooseVoterChange } from "../../decisions/quorum/chooseVoterChange/index.js";
import { QuorumMessage } from "../../decisions/quorum/QuorumMessage.js";
import { ControlPeer } from "../../links/ControlPeer.js";
import { PeerLink } from "../../links/PeerLink.js";
import { Message } from "../../links/Message.js";
import { MessageKind } from "../../links/MessageKind.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { GaugeSource } from "../../metrics/GaugeSource.js";
import { FleetError } from "../../model/FleetError.js";
import { Role } from "../../model/Role.js";
import { Step } from "../../model/Step.js";
import { toError } from "../../model/toError/index.js";
import { FolderDisk } from "../../storage/FolderDisk/index.js";
import { MeshLinks } from "../MeshLinks/index.js";
import { MeshSettings } from "../MeshSettings.js";
import { NewsSpreader } from "../NewsSpreader/index.js";

/** Time to wait for the leader's word on a change or a read, in ms; callers turn to another VM after a second. */
const LEADER_TIMEOUT_MS = 900;
/** Time between two looks at the voters, in ms. */
const KEEP_VOTERS_MS = 150;
/** Time between two looks at whether the items are as of now after a start, in ms; proxies wait for them. */
const NOTE_CURRENT_MS = 40;
/** Time without a word after which a voter counts as lost, in ms; above the time of a restart. */
const VOTER_LOST_MS = 2_500;
/** Time without a word after which a control VM does not count as live, in ms. */
const LIVE_MS = 1_500;
/** Longest time that the founder of a fleet waits for the others, in ms. */
const FOUNDING_MS = 3_000;
/** Time after a failure of the disk at which the data folder is opened again, in ms. */
const REOPEN_MS = 700;

/** A control VM: keeps the configuration items with the other control VMs, and passes the proxies' news on to all. */
export class HubRole {
    private readonly news = NewsSpreader.create({
        send: (vm, message) => void this.links?.sendTo(vm, message),
        peers: () => this.livePeers().map(({ vm }) => vm),
    });

    private readonly timers: NodeJS.Timeout[] = [];
    private readonly startedAtMs = nowMs();
    private items: ItemController | undefined;
    private links: MeshLinks | undefined;
    private hasBeenCurrent = false;
    private isChangingVoters = false;
    private isClosed = false;

    private constructor(private readonly settings: MeshSettings, private readonly events: EventLog) {}

    /**
     * Starts a control VM.
     *
     * @param settings - Settings with a control table.
     * @param events - Log.
     * @throws FleetError if a port is in use or the data folder cannot be used.
     */
    static async create(settings: MeshSettings, events: EventLog): Promise<HubRole> {
        const hub = new HubRole(settings, events);
        await hub.open();
        hub.links = await MeshLinks.create(settings, Role.Control, {
            onOpen: () => undefined,
            onMessage: (link, message) => hub.receive(link, message),
            onCall: (_link, message) => hub.answer(message),
            onClose: (link) => hub.news.unsubscribe(link.peer.vm),
        }, () => hub.ownPeer, () => hub.items?.position ?? 0, events);
        hub.timers.push(
            setInterval(() => void hub.keepVoters(), KEEP_VOTERS_MS),
            setInterval(() => hub.noteCurrent(), NOTE_CURRENT_MS),
        );
        return hub;
    }

    /** What this process believes, in figures. */
    get gauges(): readonly GaugeSource[] {
        return [
            { name: "links", help: "VMs that are linked", read: () => this.links?.linkedVms.size ?? 0 },
            { name: "subscribers", help: "Proxies that take their news here", read: () => this.news.subscriberCount },
            { name: "items", help: "Configuration items applied", read: () => this.items?.items.length ?? 0 },
            { name: "position", help: "Position in the log of the latest change applied", read: () => this.items?.position ?? 0 },
            { name: "voters", help: "Control VMs that vote", read: () => this.items?.quorum.voters.length ?? 0 },
            { name: "leads", help: "1 if this VM leads", read: () => Number(this.items?.quorum.isReady ?? false) },
        ];
    }

    /** Takes new settings. */
    reload(settings: MeshSettings): void {
        this.links?.setSeeds(settings);
    }

    /**
     * Accepts a change of items, or has the leader accept it.
     *
     * @throws FleetError if it is not known whether it was accepted.
     */
    async propose(changes: readonly VersionedItem[]): Promise<ItemOutcome> {
        const items = this.usableItems();
        if (items.quorum.isReady) {
            return items.propose(changes);
        }
        const reply = await this.callLeader({ kind: MessageKind.ProposeItems, changes });
        if (reply?.kind !== MessageKind.ItemsDecided || reply.outcome === undefined) {
            throw this.error(reply?.kind === MessageKind.ItemsDecided ? reply.problem : "the leader did not answer");
        }
        return reply.outcome;
    }

    /**
     * Reads all items as of now.
     *
     * @throws FleetError if no leader can be reached.
     */
    async read(): Promise<readonly VersionedItem[]> {
        const items = this.usableItems();
        if (items.quorum.isReady) {
            return items.read();
        }
        const reply = await this.callLeader({ kind: MessageKind.ReadItems });
        if (reply?.kind !== MessageKind.ItemsRead || reply.items === undefined) {
            throw this.error(reply?.kind === MessageKind.ItemsRead ? reply.problem : "the leader did not answer");
        }
        return reply.items;
    }

    /** Ends the process's part in the fleet; the other control VMs choose another leader if need be. */
    stop(): Promise<void> {
        this.isClosed = true;
        this.timers.forEach((timer) => clearInterval(timer));
        this.news.close();
        this.items?.close();
        this.links?.close();
        return Promise.resolve();
    }

    private async open(): Promise<void> {
        const { vm, terms, control } = this.settings;
        const disk = await FolderDisk.create(control?.dataFolder ?? "");
        this.items = await ItemController.create(disk, vm.name, {
            minVoters: 2 * terms.toleratedLosses + 1,
            send: (to, message) => this.send(to, message),
            learners: () => this.livePeers().map(({ identity }) => identity),
            onItems: (items) => this.spreadItems(items),
        }, this.events);
    }

    /** Opens the data folder again after the disk has failed, so that the VM takes part once the disk works. */
    private async reopen(): Promise<void> {
        this.items?.close();
        this.items = undefined;
        let isOpen = false;
        while (!isOpen && !this.isClosed) {
            await delay(REOPEN_MS);
            try {
                await this.open();
                isOpen = true;
                this.events.record(EventNumber.StorageReopened, {});
            }
            catch (thrown) {
                this.events.record(EventNumber.StorageFailed, { error: toError(thrown).message });
            }
        }
    }

    private get ownPeer(): ControlPeer | undefined {
        const { vm, links } = this.settings;
        const identity = this.items?.quorum.identity;
        return identity === undefined ? undefined : { vm: vm.name, linkAddress: `${vm.ip}:${links.firstPort}`, identity };
    }

    private livePeers(): readonly ControlPeer[] {
        const { links } = this;
        if (links === undefined) {
            return [];
        }
        const sinceMs = nowMs() - LIVE_MS;
        return links.known.peers.filter(({ vm }) => links.linkedVms.has(vm) && links.lastHeardMs(vm) >= sinceMs);
    }

    private usableItems(): ItemController {
        if (this.items === undefined || this.items.quorum.hasFailed) {
            throw this.error("the disk of this control VM does not work");
        }
        return this.items;
    }

    private async callLeader(message: Message): Promise<Message | undefined> {
        const leader = this.items?.quorum.leader;
        const peer = this.livePeers().find(({ identity }) => identity === leader);
        if (peer === undefined) {
            throw this.error("no leader is known; try another control VM");
        }
        return this.links?.call(peer, message, LEADER_TIMEOUT_MS);
    }

    private send(to: string, message: QuorumMessage): void {
        const peer = this.links?.known.peers.find(({ identity }) => identity === to);
        const from = this.items?.quorum.identity;
        if (peer !== undefined && from !== undefined) {
            this.links?.sendTo(peer.vm, { kind: MessageKind.Quorum, from, message });
        }
    }

    private receive(link: PeerLink, message: Message): void {
        switch (message.kind) {
            case MessageKind.Quorum:
                this.items?.handleMessage(message.from, message.message);
                return;
            case MessageKind.FleetUpdate:
                this.news.take(message.records, message.loads, link.peer.roles.includes(Role.Proxy));
                return;
            case MessageKind.Strike:
            case MessageKind.StrikesCleared:
                this.news.tellSubscribers(message);
                return;
            case MessageKind.Subscribe:
                this.subscribe(link, message.wants, message.wantsLoads);
                return;
            default:
        }
    }

    private async answer(message: Message): Promise<Message | undefined> {
        switch (message.kind) {
            case MessageKind.ProposeItems:
                return this.answerProposal(message.changes);
            case MessageKind.ReadItems:
                return this.answerRead();
            default:
                return undefined;
        }
    }

    private async answerProposal(changes: readonly VersionedItem[]): Promise<Message> {
        try {
            return { kind: MessageKind.ItemsDecided, outcome: await this.usableItems().propose(changes), problem: "" };
        }
        catch (thrown) {
            return { kind: MessageKind.ItemsDecided, outcome: undefined, problem: toError(thrown).message };
        }
    }

    private async answerRead(): Promise<Message> {
        try {
            return { kind: MessageKind.ItemsRead, items: await this.usableItems().read(), problem: "" };
        }
        catch (thrown) {
            return { kind: MessageKind.ItemsRead, items: undefined, problem: toError(thrown).message };
        }
    }

    private subscribe(link: PeerLink, wants: boolean, wantsLoads: boolean): void {
        if (!wants) {
            this.news.unsubscribe(link.peer.vm);
            return;
        }
        this.news.subscribe(link.peer.vm, wantsLoads);
        if (this.hasBeenCurrent) {
            link.send(this.allItems());
        }
    }

    private spreadItems(items: readonly VersionedItem[]): void {
        if (items.length === 0) {
            return;
        }
        const position = this.items?.position ?? 0;
        this.news.tellSubscribers({ kind: MessageKind.ItemUpdate, items: items.map(withoutDocument), isComplete: false, position });
    }

    private allItems(): Message {
        const items = (this.items?.items ?? []).map(withoutDocument);
        return { kind: MessageKind.ItemUpdate, items, isComplete: true, position: this.items?.position ?? 0 };
    }

    private noteCurrent(): void {
        const { items } = this;
        if (!this.hasBeenCurrent && items?.quorum.isCurrent === true && items.items.length > 0) {
            this.hasBeenCurrent = true;
            this.news.tellSubscribers(this.allItems());
        }
    }

    private async keepVoters(): Promise<void> {
        if (this.items?.quorum.hasFailed === true) {
            await this.reopen();
            return;
        }
        const { items, links } = this;
        if (items === undefined || links === undefined || this.isChangingVoters) {
            return;
        }
        this.isChangingVoters = true;
        try {
            await this.found(items, links);
            await this.changeVoters(items, links);
        }
        catch (thrown) {
            this.events.record(EventNumber.DecisionDropped, { error: toError(thrown).message });
        }
        finally {
            this.isChangingVoters = false;
        }
    }

    /** The first seed founds the quorum when the whole fleet starts for the first time, and no other VM ever does. */
    private async found(items: ItemController, links: MeshLinks): Promise<void> {
        const { control, links: { seeds }, vm } = this.settings;
        const isFounder = vm.isFirstStart && seeds[0] === control?.address && items.quorum.isEmpty;
        if (!isFounder) {
            return;
        }
        const wanted = 2 * this.settings.terms.toleratedLosses;
        if (links.known.peers.length >= wanted || nowMs() - this.startedAtMs > FOUNDING_MS) {
            await items.quorum.bootstrap();
        }
    }

    private async changeVoters(items: ItemController, links: MeshLinks): Promise<void> {
        const { quorum } = items;
        if (!quorum.isReady) {
            return;
        }
        const live = [quorum.identity, ...this.livePeers().map(({ identity }) => identity)];
        const lostSinceMs = nowMs() - VOTER_LOST_MS;
        const lost = quorum.voters.filter((voter) => !live.includes(voter) && links.lastHeardMs(vmOf(voter)) < lostSinceMs);
        const action = chooseVoterChange({
            voters: quorum.voters,
            live,
            lost,
            targetCount: Math.max(3, 2 * this.settings.terms.toleratedLosses + 1),
        });
        if (action !== undefined && (!action.isAddition || quorum.hasCaughtUp(action.identity))) {
            await quorum.changeVoters(action.identity, action.isAddition);
        }
    }

    private error(problem: string): FleetError {
        return FleetError.create({ step: Step.Apply, peer: this.settings.vm.name }, problem);
    }
}

function withoutDocument(item: VersionedItem): VersionedItem {
    return { ...item, document: "" };
}

function vmOf(identity: string): string {
    return identity.slice(0, identity.lastIndexOf(":"));
}
