import { setTimeout as delay } from "node:timers/promises";
import { nowMs } from "../../clock/nowMs/index.js";
import { ItemController } from "../../controllers/ItemController/index.js";
import { VoterLog } from "../../controllers/VoterLog/index.js";
import { ItemOutcome } from "../../decisions/items/ItemOutcome.js";
import { selectDifferingItems } from "../../decisions/items/selectDifferingItems/index.js";
import { VersionedItem } from "../../decisions/items/VersionedItem.js";
import { assessVoters } from "../../decisions/quorum/assessVoters/index.js";
import { chooseVoterChange } from "../../decisions/quorum/chooseVoterChange/index.js";
import { explainReplacements } from "../../decisions/quorum/explainReplacements/index.js";
import { PeerContact } from "../../decisions/quorum/PeerContact.js";
import { QuorumMessage } from "../../decisions/quorum/QuorumMessage.js";
import { vmOf } from "../../decisions/quorum/vmOf/index.js";
import { UnfinishedHeaders } from "../../http/UnfinishedHeaders/index.js";
import { ControlPeer } from "../../links/ControlPeer.js";
import { PeerLink } from "../../links/PeerLink.js";
import { Message } from "../../links/Message.js";
import { MessageKind } from "../../links/MessageKind.js";
import { BudgetLog } from "../../logs/BudgetLog/index.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { GaugeSource } from "../../metrics/GaugeSource.js";
import { FleetError } from "../../model/FleetError.js";
import { Role } from "../../model/Role.js";
import { Step } from "../../model/Step.js";
import { toError } from "../../model/toError/index.js";
import { isPassingError } from "../../starts/isPassingError/index.js";
import { ControlStatus } from "../../operators/ControlStatus.js";
import { StartWaits } from "../../starts/StartWaits/index.js";
import { FolderDisk } from "../../storage/FolderDisk/index.js";
import { FleetUpdateRelay } from "../FleetUpdateRelay/index.js";
import { MeshLinks } from "../MeshLinks/index.js";
import { MeshSettings } from "../MeshSettings.js";
import { QuotaGranter } from "../QuotaGranter/index.js";
import { quotaTermsOf } from "../quotaTermsOf/index.js";

/** Timeout of a call to the leader, in ms; callers try another VM after 1 s. */
const LEADER_TIMEOUT_MS = 900;
/** Interval of checks of the voters, in ms. */
const VOTER_CHECK_INTERVAL_MS = 150;
/** Interval of checks after a start whether the items are current, in ms; short, because proxies wait for the snapshot. */
const SNAPSHOT_CHECK_INTERVAL_MS = 40;
/** Time without a message after which a control VM no longer counts as live, in ms. */
const PEER_TIMEOUT_MS = 1_500;
/** Maximum time that the founder of a fleet waits for the other control VMs, in ms. */
const BOOTSTRAP_WAIT_MS = 3_000;
/** Delay after a disk failure before the data folder is reopened, in ms. */
const REOPEN_DELAY_MS = 700;

/**
 * Role of a control VM. Replicates the configuration items with the other control VMs through a quorum, maintains its
 * voters, and relays updates of the proxies to subscribers.
 */
export class ControlPlaneRole {
    private readonly updateRelay = FleetUpdateRelay.create({
        send: (vm, message) => void this.links?.sendTo(vm, message),
        peers: () => this.livePeers().map(({ vm }) => vm),
        recordRefusal: (...refusal) => this.budgetLog.recordRefusal(...refusal),
    });

    private readonly budgetLog: BudgetLog;
    private readonly quotaGranter: QuotaGranter;
    private readonly voterLog: VoterLog;
    /** Links over which proxies have subscribed, by VM. A VM whose process has been replaced may still have the link of the former one. */
    private readonly subscriptions = new Map<string, PeerLink>();
    private readonly timers: NodeJS.Timeout[] = [];
    private readonly startedAtMs = nowMs();
    private itemController: ItemController | undefined;
    private links: MeshLinks | undefined;
    private hasSentSnapshot = false;
    private isChangingVoters = false;
    private isClosed = false;

    private constructor(private readonly settings: MeshSettings, private readonly events: EventLog) {
        this.budgetLog = BudgetLog.create(events);
        this.voterLog = VoterLog.create(events);
        this.quotaGranter = QuotaGranter.create(quotaTermsOf(settings), () => this.countControls());
    }

    /**
     * Starts a control VM.
     *
     * @param settings - Settings with a `control` table.
     * @param events - Event log.
     * @param waits - Waits for a port that is held and a disk that refuses or hangs; without it, a refusal is an error.
     * @throws FleetError if it cannot listen on a port, or the data folder cannot be used or is corrupt.
     */
    static async create(settings: MeshSettings, events: EventLog, waits?: StartWaits): Promise<ControlPlaneRole> {
        const role = new ControlPlaneRole(settings, events);
        await (waits === undefined ? role.open() : waits.retry(`data folder ${settings.control?.dataFolder ?? ""}`, () => role.open(), isPassingError));
        if (settings.vm.isFirstStart && role.itemController?.quorum.isEmpty === true) {
            role.quotaGranter.recordFirstRun();
        }
        role.links = await MeshLinks.create(settings, Role.Control, {
            onOpen: () => undefined,
            onMessage: (link, message) => role.handleMessage(link, message),
            onCall: (_link, message) => role.handleCall(message),
            onClose: (link) => role.handleClose(link),
            onMessageError: (error) => events.record(EventNumber.MessageFailed, { error: error.message }),
        }, () => role.ownPeer, () => role.itemController?.position ?? 0, events, waits);
        role.timers.push(
            setInterval(() => void role.maintainQuorum(), VOTER_CHECK_INTERVAL_MS),
            setInterval(() => role.sendSnapshotOnceCurrent(), SNAPSHOT_CHECK_INTERVAL_MS),
        );
        return role;
    }

    /** Gauges of the state of this process. */
    get gauges(): readonly GaugeSource[] {
        return [
            { name: "links", help: "VMs that are linked", read: () => this.links?.linkedVms.size ?? 0 },
            { name: "link_buffered_bytes", help: "Bytes that linked VMs have not read", read: () => this.links?.bufferedBytes ?? 0 },
            {
                name: "other_domain_sent_bytes",
                help: "Bytes sent to other failure domains since the start",
                read: () => this.links?.bytesSentToOtherDomains ?? 0,
            },
            {
                name: "unfinished_header_bytes",
                help: "Bytes of header sections that clients of all ports have not finished",
                read: () => UnfinishedHeaders.bytesOfProcess,
            },
            { name: "subscribers", help: "Proxies that take their news here", read: () => this.updateRelay.subscriberCount },
            { name: "items", help: "Configuration items applied", read: () => this.itemController?.items.length ?? 0 },
            { name: "position", help: "Position in the log of the latest change applied", read: () => this.itemController?.position ?? 0 },
            { name: "voters", help: "Control VMs that vote", read: () => this.itemController?.quorum.voters.length ?? 0 },
            { name: "leads", help: "1 if this VM leads", read: () => Number(this.itemController?.quorum.isReady ?? false) },
            ...this.quorumGauges,
            ...this.voterLog.gauges,
            ...this.quotaGranter.gauges,
        ];
    }

    /** Gauges of the quorum, which is replaced when the data folder is opened again. */
    private get quorumGauges(): readonly GaugeSource[] {
        const names = this.itemController?.quorum.gauges ?? [];
        return names.map(({ name, help }, index) => ({ name, help, read: () => this.itemController?.quorum.gauges[index]?.read() ?? 0 }));
    }

    /** Applies new settings. */
    reload(settings: MeshSettings): void {
        this.links?.setSeeds(settings);
    }

    /**
     * Proposes changes of items, through the leader if this VM is not the leader.
     *
     * @throws FleetError if it is unknown whether the changes were accepted.
     */
    async propose(changes: readonly VersionedItem[]): Promise<ItemOutcome> {
        const itemController = this.requireItemController();
        if (itemController.quorum.isReady) {
            return itemController.propose(changes);
        }
        const reply = await this.callLeader({ kind: MessageKind.ProposeItems, changes });
        if (reply?.kind !== MessageKind.ItemsDecided || reply.outcome === undefined) {
            throw this.createError(reply?.kind === MessageKind.ItemsDecided ? reply.problem : "the leader did not answer");
        }
        return reply.outcome;
    }

    /**
     * Reads the current items, through the leader if this VM is not the leader.
     *
     * @throws FleetError if no leader can be reached.
     */
    async read(): Promise<readonly VersionedItem[]> {
        const itemController = this.requireItemController();
        if (itemController.quorum.isReady) {
            return itemController.read();
        }
        const reply = await this.callLeader({ kind: MessageKind.ReadItems });
        if (reply?.kind !== MessageKind.ItemsRead || reply.items === undefined) {
            throw this.createError(reply?.kind === MessageKind.ItemsRead ? reply.problem : "the leader did not answer");
        }
        return reply.items;
    }

    /** State of the quorum; undefined while the data folder is not open. */
    get status(): ControlStatus | undefined {
        const quorum = this.itemController?.quorum;
        return quorum === undefined
            ? undefined
            : {
                    identity: quorum.identity,
                    leader: quorum.leader ?? "",
                    term: quorum.term,
                    voters: quorum.voters,
                    others: this.livePeers().map(({ identity }) => identity).filter((identity) => !quorum.voters.includes(identity)),
                    ...this.voterLog.status,
                };
    }

    /** Leaves the fleet. If this VM is the leader, the other control VMs elect another one. */
    stop(): Promise<void> {
        this.isClosed = true;
        this.timers.forEach((timer) => clearInterval(timer));
        this.updateRelay.close();
        void this.itemController?.close();
        this.links?.close();
        return Promise.resolve();
    }

    private async open(): Promise<void> {
        const { vm, terms, control } = this.settings;
        const disk = await FolderDisk.create(control?.dataFolder ?? "");
        this.itemController = await ItemController.create(disk, vm.name, {
            minVoters: 2 * terms.toleratedLosses + 1,
            send: (to, message) => this.send(to, message),
            learners: () => this.livePeers().map(({ identity }) => identity),
            onItems: (items) => this.broadcastItems(items),
        }, this.events);
        this.applyQuotas();
    }

    /** Reopens the data folder after a disk failure, and retries until the disk works. */
    private async reopen(): Promise<void> {
        void this.itemController?.close();
        this.itemController = undefined;
        // Until the items are current again, a subscriber would take an outdated or empty snapshot for all items.
        this.hasSentSnapshot = false;
        let isOpen = false;
        while (!isOpen && !this.isClosed) {
            await delay(REOPEN_DELAY_MS);
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
        const identity = this.itemController?.quorum.identity;
        return identity === undefined ? undefined : { vm: vm.name, linkAddress: `${vm.ip}:${links.firstPort}`, identity };
    }

    private livePeers(): readonly ControlPeer[] {
        const { links } = this;
        if (links === undefined) {
            return [];
        }
        const sinceMs = nowMs() - PEER_TIMEOUT_MS;
        return links.controlAddresses.peers.filter(({ vm }) => links.linkedVms.has(vm) && links.silentSinceMs(vm) >= sinceMs);
    }

    /** Applies the limits in force. While the items are being read from disk, the former limits stay. */
    private applyQuotas(): void {
        if (this.itemController !== undefined) {
            this.quotaGranter.setItems(this.itemController.items);
        }
    }

    /** Number of control VMs among which quotas are divided: at least as many as the fleet needs, so that the shares never exceed the whole. */
    private countControls(): number {
        const { vm, terms } = this.settings;
        const others = this.links?.controlAddresses.peers.filter((peer) => peer.vm !== vm.name).length ?? 0;
        return Math.max(2 * terms.toleratedLosses + 1, others + 1);
    }

    private requireItemController(): ItemController {
        if (this.itemController === undefined || this.itemController.quorum.hasFailed) {
            throw this.createError("the disk of this control VM has failed");
        }
        return this.itemController;
    }

    private async callLeader(message: Message): Promise<Message | undefined> {
        const quorum = this.itemController?.quorum;
        const leader = quorum?.leader;
        if (quorum !== undefined && leader === quorum.identity) {
            throw this.createError(`this control VM leads, but no majority has stored the start of its term ${quorum.term}; try another control VM`);
        }
        const peer = this.livePeers().find(({ identity }) => identity === leader);
        if (peer === undefined) {
            const reason = leader === undefined ? `no leader is known (${quorum?.leaderlessReason ?? ""})` : `the leader ${leader} cannot be reached`;
            throw this.createError(`${reason}; try another control VM`);
        }
        return this.links?.call(peer, message, LEADER_TIMEOUT_MS);
    }

    private send(to: string, message: QuorumMessage): void {
        const peer = this.links?.controlAddresses.peers.find(({ identity }) => identity === to);
        const from = this.itemController?.quorum.identity;
        if (peer !== undefined && from !== undefined) {
            this.links?.sendTo(peer.vm, { kind: MessageKind.Quorum, from, message });
        }
    }

    private handleMessage(link: PeerLink, message: Message): void {
        switch (message.kind) {
            case MessageKind.Quorum:
                this.itemController?.handleMessage(message.from, message.message);
                return;
            case MessageKind.FleetUpdate:
                this.updateRelay.handleUpdate(message.records, message.loads, link.peer.roles.includes(Role.Proxy));
                return;
            case MessageKind.Strike:
            case MessageKind.StrikesCleared:
                this.updateRelay.sendToSubscribers(message);
                return;
            case MessageKind.Subscribe:
                this.handleSubscribe(link, message);
                return;
            case MessageKind.QuotaRequest:
                link.send(this.quotaGranter.handleRequest(message.id, message.asks));
                return;
            default:
        }
    }

    private async handleCall(message: Message): Promise<Message | undefined> {
        switch (message.kind) {
            case MessageKind.ProposeItems:
                return this.handleProposal(message.changes);
            case MessageKind.ReadItems:
                return this.handleRead();
            default:
                return undefined;
        }
    }

    private async handleProposal(changes: readonly VersionedItem[]): Promise<Message> {
        try {
            return { kind: MessageKind.ItemsDecided, outcome: await this.requireItemController().propose(changes), problem: "" };
        }
        catch (thrown) {
            return { kind: MessageKind.ItemsDecided, outcome: undefined, problem: toError(thrown).message };
        }
    }

    private async handleRead(): Promise<Message> {
        try {
            return { kind: MessageKind.ItemsRead, items: await this.requireItemController().read(), problem: "" };
        }
        catch (thrown) {
            return { kind: MessageKind.ItemsRead, items: undefined, problem: toError(thrown).message };
        }
    }

    private handleSubscribe(link: PeerLink, { wants, wantsLoads, digests }: Extract<Message, { kind: MessageKind.Subscribe }>): void {
        if (!wants) {
            this.endSubscription(link.peer.vm);
            return;
        }
        this.subscriptions.set(link.peer.vm, link);
        this.updateRelay.subscribe(link.peer.vm, wantsLoads);
        if (this.hasSentSnapshot) {
            link.send(this.createSnapshotMessage(digests));
        }
    }

    private handleClose(link: PeerLink): void {
        if (this.subscriptions.get(link.peer.vm) === link) {
            this.endSubscription(link.peer.vm);
        }
    }

    private endSubscription(vm: string): void {
        this.subscriptions.delete(vm);
        this.updateRelay.unsubscribe(vm);
    }

    private broadcastItems(items: readonly VersionedItem[]): void {
        if (items.length === 0) {
            return;
        }
        this.applyQuotas();
        const position = this.itemController?.position ?? 0;
        this.updateRelay.sendToSubscribers({ kind: MessageKind.ItemUpdate, items: items.map(withoutDocument), isComplete: false, position });
    }

    /** Brings a subscriber up to date: with all items, or with those that its digests show that it may lack. */
    private createSnapshotMessage(digests?: readonly number[]): Message {
        const all = this.itemController?.items ?? [];
        const items = (Array.isArray(digests) ? selectDifferingItems(all, digests) : all).map(withoutDocument);
        return { kind: MessageKind.ItemUpdate, items, isComplete: true, position: this.itemController?.position ?? 0 };
    }

    private sendSnapshotOnceCurrent(): void {
        const { itemController } = this;
        if (!this.hasSentSnapshot && itemController?.quorum.isCurrent === true && itemController.items.length > 0) {
            this.hasSentSnapshot = true;
            this.updateRelay.sendToSubscribers(this.createSnapshotMessage());
        }
    }

    private async maintainQuorum(): Promise<void> {
        if (this.itemController?.quorum.hasFailed === true) {
            await this.reopen();
            return;
        }
        const { itemController, links } = this;
        if (itemController === undefined || links === undefined || this.isChangingVoters) {
            return;
        }
        this.isChangingVoters = true;
        try {
            await this.bootstrapIfFounder(itemController, links);
            await this.adjustVoters(itemController, links);
        }
        catch (thrown) {
            this.events.record(EventNumber.DecisionDropped, { error: toError(thrown).message });
        }
        finally {
            this.isChangingVoters = false;
        }
    }

    /** Bootstraps the quorum on the first start of the whole fleet. Only the first seed does so, so that only one quorum exists. */
    private async bootstrapIfFounder(itemController: ItemController, links: MeshLinks): Promise<void> {
        const { control, links: { seeds }, vm } = this.settings;
        const isFounder = vm.isFirstStart && seeds[0] === control?.address && itemController.quorum.isEmpty;
        if (!isFounder) {
            return;
        }
        const wantedPeers = 2 * this.settings.terms.toleratedLosses;
        if (links.controlAddresses.peers.length >= wantedPeers || nowMs() - this.startedAtMs > BOOTSTRAP_WAIT_MS) {
            await itemController.quorum.bootstrap();
        }
    }

    private async adjustVoters(itemController: ItemController, links: MeshLinks): Promise<void> {
        const { quorum } = itemController;
        if (!quorum.isReady) {
            this.voterLog.clear();
            return;
        }
        const assessment = assessVoters(quorum.voters, quorum.contacts.map((contact) => this.addLinkSilence(contact, links)));
        const voterChange = chooseVoterChange(assessment, Math.max(3, 2 * this.settings.terms.toleratedLosses + 1));
        this.voterLog.record(assessment, explainReplacements(assessment, voterChange));
        if (voterChange !== undefined) {
            await quorum.changeVoters(voterChange.identity, voterChange.isAddition);
        }
    }

    /** A leader has no replies from before its term; but a VM that is silent on its link is silent under each of its identities. */
    private addLinkSilence(contact: PeerContact, links: MeshLinks): PeerContact {
        const vm = vmOf(contact.identity);
        if (vm === this.settings.vm.name) {
            return contact;
        }
        const silentSinceMs = Math.max(links.silentSinceMs(vm), this.startedAtMs);
        return { ...contact, silentMs: Math.max(contact.silentMs, nowMs() - silentSinceMs) };
    }

    private createError(problem: string): FleetError {
        return FleetError.create({ step: Step.Apply, peer: this.settings.vm.name }, problem);
    }
}

function withoutDocument(item: VersionedItem): VersionedItem {
    return { ...item, document: "" };
}
