import { chooseLinkPeers } from "../../decisions/membership/chooseLinkPeers/index.js";
import { isNewerRecord } from "../../decisions/membership/isNewerRecord/index.js";
import { MemberDirectory } from "../../decisions/membership/MemberDirectory/index.js";
import { MemberStamp } from "../../decisions/membership/MemberStamp.js";
import { Suspicion } from "../../decisions/membership/Suspicion.js";
import { nowMs } from "../../clock/nowMs/index.js";
import { PeerLink } from "../../links/PeerLink.js";
import { Message } from "../../links/Message.js";
import { MessageKind } from "../../links/MessageKind.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { EndpointRecord } from "../../model/EndpointRecord.js";
import { MemberRecord } from "../../model/MemberRecord.js";
import { MemberState } from "../../model/MemberState.js";
import { LinkNetwork } from "../LinkNetwork.js";

const TICK_MS = 500;
const TICKS_BETWEEN_RECONNECTS = 3;
/** Number of links above which one is closed at each tick. Links between control VMs do not count. */
const MAX_LINKS = 10;
/** Time between announcing the close of a link to the peer and closing it, in ms. */
const CLOSE_DELAY_MS = 200;
/** Ticks between two summaries of the directory, which are sent to a random peer for anti-entropy. */
const TICKS_BETWEEN_SUMMARIES = 10;
const SUSPECT_AFTER_FAILED_CONNECTS = 1;

/**
 * Maintains the member directory by gossip: publishes the record of this process, keeps links to a few peers, and suspects
 * members that it cannot reach.
 */
export class MembershipController {
    readonly directory = MemberDirectory.create();
    private readonly failedConnects = new Map<string, number>();
    /** VMs whose link is being closed because one end has too many links. */
    private readonly closingVms = new Set<string>();
    private readonly timer: NodeJS.Timeout;
    private self: MemberRecord;
    private ticks = 0;

    private constructor(
        self: MemberRecord,
        private readonly seeds: readonly string[],
        private readonly network: LinkNetwork,
        private readonly events: EventLog,
        private readonly random: () => number,
    ) {
        this.self = self;
        this.directory.merge(self, nowMs());
        this.timer = setInterval(() => this.tick(), TICK_MS);
    }

    /**
     * Creates the membership controller of a process and starts connecting to peers.
     *
     * @param self - Initial record of the process.
     * @param seeds - Link addresses of the processes to connect to first.
     * @param network - Links of the process.
     * @param events - Event log.
     * @param random - Random number generator with values in [0, 1).
     */
    static create(
        self: MemberRecord,
        seeds: readonly string[],
        network: LinkNetwork,
        events: EventLog,
        random: () => number,
    ): MembershipController {
        return new MembershipController(self, seeds, network, events, random);
    }

    /** Current record of this process. */
    get ownRecord(): MemberRecord {
        return this.self;
    }

    /** Publishes the endpoints on this VM. */
    setEndpoints(endpoints: readonly EndpointRecord[]): void {
        this.publish({ ...this.self, endpoints });
    }

    /** Publishes the state of this process. */
    setState(state: MemberState): void {
        this.publish({ ...this.self, state });
    }

    /** Handles an opened link: sends this process's record, a summary of the directory and all open suspicions. */
    handleOpen(link: PeerLink): void {
        this.failedConnects.delete(link.peer.vm);
        this.closingVms.delete(link.peer.vm);
        link.send({ kind: MessageKind.Members, records: [this.self] });
        link.send({ kind: MessageKind.MemberSummary, buckets: this.directory.summary() });
        this.directory.openSuspicions().forEach((suspicion) => link.send({ kind: MessageKind.Suspicion, suspicion }));
    }

    /** Handles a closed link: suspects the peer if reconnecting fails. */
    async handleClose(link: PeerLink): Promise<void> {
        const { vm, linkAddress } = link.peer;
        if (this.closingVms.delete(vm)) {
            return;
        }
        const record = this.directory.record(vm);
        if (record === undefined || record.state === MemberState.Left || this.network.isClosing) {
            return;
        }
        const isReachable = this.network.linkedVms.has(vm) || await this.network.connect(linkAddress);
        if (!isReachable) {
            this.recordFailedConnect(record);
        }
    }

    /** Handles a message about members; ignores all others. */
    handleMessage(link: PeerLink, message: Message): void {
        switch (message.kind) {
            case MessageKind.Members:
                this.mergeRecords(message.records, link.peer.vm);
                return;
            case MessageKind.MemberSummary:
                this.handleSummary(link, message.buckets);
                return;
            case MessageKind.MemberStamps:
                this.handleStamps(link, message.buckets, message.stamps, message.wantsReply);
                return;
            case MessageKind.Unlink:
                this.closingVms.add(link.peer.vm);
                return;
            case MessageKind.Suspicion:
                this.handleSuspicion(message.suspicion, link.peer.vm);
                return;
            default:
                return;
        }
    }

    /** Stops the timers. */
    close(): void {
        clearInterval(this.timer);
    }

    private publish(record: MemberRecord): void {
        this.self = { ...record, sequence: this.self.sequence + 1 };
        this.directory.merge(this.self, nowMs());
        this.network.broadcast({ kind: MessageKind.Members, records: [this.self] });
    }

    private mergeRecords(records: readonly MemberRecord[], fromVm: string): void {
        const updated = records.filter((record) => this.mergeRecord(record));
        if (updated.length > 0) {
            this.network.broadcast({ kind: MessageKind.Members, records: updated }, fromVm);
        }
    }

    private mergeRecord(record: MemberRecord): boolean {
        if (record.vm === this.self.vm) {
            this.reassertIdentity(record);
            return false;
        }
        const wasSuspected = this.directory.openSuspicions().some((suspicion) => suspicion.member.vm === record.vm);
        const isUpdated = this.directory.merge(record, nowMs());
        if (isUpdated && wasSuspected) {
            this.events.record(EventNumber.MemberRefuted, { member: record.vm });
        }
        return isUpdated;
    }

    private reassertIdentity(record: MemberRecord): void {
        if (!isNewerRecord(record, this.self)) {
            return;
        }
        if (record.incarnation !== this.self.incarnation) {
            this.events.record(EventNumber.IdentityContested, { other: record.incarnation });
        }
        this.publish({ ...this.self, startedAtMs: record.startedAtMs + 1 });
    }

    private handleSummary(link: PeerLink, summary: readonly number[]): void {
        const buckets = this.directory.differingBuckets(summary);
        if (buckets.length > 0) {
            const stamps = this.directory.stampsInDifferingBuckets(summary);
            link.send({ kind: MessageKind.MemberStamps, buckets, stamps, wantsReply: true });
        }
    }

    private handleStamps(link: PeerLink, buckets: readonly number[], stamps: readonly MemberStamp[], wantsReply: boolean): void {
        const records = this.directory.recordsNewerThan(stamps, buckets);
        if (records.length > 0) {
            link.send({ kind: MessageKind.Members, records });
        }
        if (wantsReply) {
            const own = this.directory.stampsIn(buckets);
            link.send({ kind: MessageKind.MemberStamps, buckets, stamps: own, wantsReply: false });
        }
    }

    private handleSuspicion(suspicion: Suspicion, fromVm: string): void {
        const { member, observer } = suspicion;
        if (member.vm === this.self.vm) {
            if (!isNewerRecord(this.self, member)) {
                this.publish(this.self);
            }
            return;
        }
        if (this.directory.addSuspicion(suspicion, nowMs())) {
            this.events.record(EventNumber.MemberSuspected, { member: member.vm, observer });
            this.network.broadcast({ kind: MessageKind.Suspicion, suspicion }, fromVm);
        }
    }

    private recordFailedConnect(record: MemberRecord): void {
        const failures = (this.failedConnects.get(record.vm) ?? 0) + 1;
        this.failedConnects.set(record.vm, failures);
        if (failures < SUSPECT_AFTER_FAILED_CONNECTS) {
            return;
        }
        const { vm, startedAtMs, sequence } = record;
        const suspicion = { member: { vm, startedAtMs, sequence }, observer: this.self.vm };
        if (this.directory.addSuspicion(suspicion, nowMs())) {
            this.events.record(EventNumber.MemberSuspected, { member: vm, observer: this.self.vm });
            this.network.broadcast({ kind: MessageKind.Suspicion, suspicion });
        }
    }

    private tick(): void {
        this.directory.expireSuspicions(nowMs()).forEach((vm) => this.events.record(EventNumber.MemberLost, { member: vm }));
        this.directory.removeExpired(nowMs());
        this.openMissingLinks();
        this.closeExcessLink();
        this.ticks += 1;
        if (this.ticks % TICKS_BETWEEN_RECONNECTS === 0) {
            this.reconnectLostMember();
        }
        if (this.ticks % TICKS_BETWEEN_SUMMARIES === 0) {
            this.sendSummary();
        }
    }

    private openMissingLinks(): void {
        const linked = this.network.linkedVms;
        if (linked.size === 0 || this.ticks % TICKS_BETWEEN_RECONNECTS === 0) {
            this.unmatchedSeeds().forEach((seed) => void this.network.connect(seed));
        }
        for (const member of chooseLinkPeers(this.self, linked, this.directory.live(), this.random)) {
            void this.network.connect(member.linkAddress).then((isOpen) => {
                if (!isOpen) {
                    this.recordFailedConnect(member);
                }
            });
        }
    }

    /** Returns seeds that match no live member; they may belong to a part of the fleet that started separately. */
    private unmatchedSeeds(): readonly string[] {
        const known = new Set([this.self, ...this.directory.live()].map(({ linkAddress }) => linkAddress));
        return this.seeds.filter((seed) => !known.has(seed));
    }

    /** Tries to reconnect a lost member. After a network partition, each side marks the other as lost, so neither would connect. */
    private reconnectLostMember(): void {
        const lost = this.directory.all().filter((member) => member.state !== MemberState.Left && this.directory.isLost(member.vm));
        const member = lost[Math.floor(this.random() * lost.length)];
        if (member !== undefined) {
            void this.network.connect(member.linkAddress);
        }
    }

    private closeExcessLink(): void {
        const isControlPeer = (vm: string): boolean => this.self.controlIdentity !== "" && this.directory.record(vm)?.controlIdentity !== "";
        const linked = [...this.network.linkedVms].filter((vm) => !isControlPeer(vm));
        if (linked.length <= MAX_LINKS) {
            return;
        }
        const vm = linked[Math.floor(this.random() * linked.length)] ?? "";
        this.closingVms.add(vm);
        this.network.sendTo(vm, { kind: MessageKind.Unlink });
        setTimeout(() => this.network.closeLink(vm), CLOSE_DELAY_MS);
    }

    private sendSummary(): void {
        const peers = [...this.network.linkedVms];
        const peer = peers[Math.floor(this.random() * peers.length)];
        if (peer !== undefined) {
            this.network.sendTo(peer, { kind: MessageKind.MemberSummary, buckets: this.directory.summary() });
        }
    }
}
