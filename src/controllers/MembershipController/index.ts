import { chooseLinkPeers } from "../../decisions/membership/chooseLinkPeers/index.js";
import { isNewerRecord } from "../../decisions/membership/isNewerRecord/index.js";
import { MemberDirectory } from "../../decisions/membership/MemberDirectory/index.js";
import { MemberStamp } from "../../decisions/membership/MemberStamp.js";
import { Suspicion } from "../../decisions/membership/Suspicion.js";
import { nowMs } from "../../clock/nowMs/index.js";
import { LinkPort } from "../../links/LinkPort.js";
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
const MAX_LINKS = 10;
const UNLINK_DELAY_MS = 200;
const TICKS_BETWEEN_SUMMARIES = 10;
const SUSPECT_AFTER_FAILED_CONNECTS = 1;

/** Owns the directory of members: spreads the own record, links to a few peers, and suspects those it cannot reach. */
export class MembershipController {
    readonly directory = MemberDirectory.create();
    private readonly failedConnects = new Map<string, number>();
    /** VMs to which a link is being closed because one end has too many. */
    private readonly unlinked = new Set<string>();
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
     * Creates the membership of a process and starts to look for peers.
     *
     * @param self - Own record as it is at the start.
     * @param seeds - Link addresses of processes to ask first.
     * @param network - Links of the process.
     * @param events - Log.
     * @param random - Source of numbers from 0 up to, but not including, 1.
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

    /** Own record. */
    get own(): MemberRecord {
        return this.self;
    }

    /** Announces the endpoints on the own VM. */
    setEndpoints(endpoints: readonly EndpointRecord[]): void {
        this.publish({ ...this.self, endpoints });
    }

    /** Announces the own state. */
    setState(state: MemberState): void {
        this.publish({ ...this.self, state });
    }

    /** A link is open: both ends tell each other what they know. */
    open(link: LinkPort): void {
        this.failedConnects.delete(link.peer.vm);
        this.unlinked.delete(link.peer.vm);
        link.send({ kind: MessageKind.Members, records: [this.self] });
        link.send({ kind: MessageKind.MemberSummary, buckets: this.directory.summary() });
        this.directory.openSuspicions().forEach((suspicion) => link.send({ kind: MessageKind.Suspicion, suspicion }));
    }

    /** A link is gone: if the peer cannot be reached again, it is suspected. */
    async lose(link: LinkPort): Promise<void> {
        const { vm, linkAddress } = link.peer;
        if (this.unlinked.delete(vm)) {
            return;
        }
        const record = this.directory.record(vm);
        if (record === undefined || record.state === MemberState.Left || this.network.isClosing) {
            return;
        }
        const isReachable = this.network.linkedVms.has(vm) || await this.network.connect(linkAddress);
        if (!isReachable) {
            this.failConnect(record);
        }
    }

    /** Takes a message about members. */
    receive(link: LinkPort, message: Message): void {
        switch (message.kind) {
            case MessageKind.Members:
                this.merge(message.records, link.peer.vm);
                return;
            case MessageKind.MemberSummary:
                this.compare(link, message.buckets);
                return;
            case MessageKind.MemberStamps:
                this.reconcile(link, message.buckets, message.stamps, message.wantsReply);
                return;
            case MessageKind.Unlink:
                this.unlinked.add(link.peer.vm);
                return;
            case MessageKind.Suspicion:
                this.hearSuspicion(message.suspicion, link.peer.vm);
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

    private merge(records: readonly MemberRecord[], fromVm: string): void {
        const news = records.filter((record) => this.mergeOne(record));
        if (news.length > 0) {
            this.network.broadcast({ kind: MessageKind.Members, records: news }, fromVm);
        }
    }

    private mergeOne(record: MemberRecord): boolean {
        if (record.vm === this.self.vm) {
            this.defendIdentity(record);
            return false;
        }
        const wasSuspected = this.directory.openSuspicions().some((suspicion) => suspicion.member.vm === record.vm);
        const isNews = this.directory.merge(record, nowMs());
        if (isNews && wasSuspected) {
            this.events.record(EventNumber.MemberRefuted, { member: record.vm });
        }
        return isNews;
    }

    private defendIdentity(record: MemberRecord): void {
        if (!isNewerRecord(record, this.self)) {
            return;
        }
        if (record.incarnation !== this.self.incarnation) {
            this.events.record(EventNumber.IdentityContested, { other: record.incarnation });
        }
        this.publish({ ...this.self, startedAtMs: record.startedAtMs + 1 });
    }

    private compare(link: LinkPort, summary: readonly number[]): void {
        const buckets = this.directory.bucketsDiffering(summary);
        if (buckets.length > 0) {
            const stamps = this.directory.stampsDiffering(summary);
            link.send({ kind: MessageKind.MemberStamps, buckets, stamps, wantsReply: true });
        }
    }

    private reconcile(link: LinkPort, buckets: readonly number[], stamps: readonly MemberStamp[], wantsReply: boolean): void {
        const records = this.directory.recordsNewerThan(stamps, buckets);
        if (records.length > 0) {
            link.send({ kind: MessageKind.Members, records });
        }
        if (wantsReply) {
            const own = this.directory.stampsIn(buckets);
            link.send({ kind: MessageKind.MemberStamps, buckets, stamps: own, wantsReply: false });
        }
    }

    private hearSuspicion(suspicion: Suspicion, fromVm: string): void {
        const { member, observer } = suspicion;
        if (member.vm === this.self.vm) {
            if (!isNewerRecord(this.self, member)) {
                this.publish(this.self);
            }
            return;
        }
        if (this.directory.suspect(suspicion, nowMs())) {
            this.events.record(EventNumber.MemberSuspected, { member: member.vm, observer });
            this.network.broadcast({ kind: MessageKind.Suspicion, suspicion }, fromVm);
        }
    }

    private failConnect(record: MemberRecord): void {
        const failures = (this.failedConnects.get(record.vm) ?? 0) + 1;
        this.failedConnects.set(record.vm, failures);
        if (failures < SUSPECT_AFTER_FAILED_CONNECTS) {
            return;
        }
        const { vm, startedAtMs, sequence } = record;
        const suspicion = { member: { vm, startedAtMs, sequence }, observer: this.self.vm };
        if (this.directory.suspect(suspicion, nowMs())) {
            this.events.record(EventNumber.MemberSuspected, { member: vm, observer: this.self.vm });
            this.network.broadcast({ kind: MessageKind.Suspicion, suspicion });
        }
    }

    private tick(): void {
        this.directory.expireSuspicions(nowMs()).forEach((vm) => this.events.record(EventNumber.MemberLost, { member: vm }));
        this.directory.expire(nowMs());
        this.connectMore();
        this.closeSurplus();
        this.ticks += 1;
        if (this.ticks % TICKS_BETWEEN_RECONNECTS === 0) {
            this.tryLost();
        }
        if (this.ticks % TICKS_BETWEEN_SUMMARIES === 0) {
            this.sendSummary();
        }
    }

    private connectMore(): void {
        const linked = this.network.linkedVms;
        if (linked.size === 0 || this.ticks % TICKS_BETWEEN_RECONNECTS === 0) {
            this.unknownSeeds().forEach((seed) => void this.network.connect(seed));
        }
        for (const member of chooseLinkPeers(this.self, linked, this.directory.live(), this.random)) {
            void this.network.connect(member.linkAddress).then((isOpen) => {
                if (!isOpen) {
                    this.failConnect(member);
                }
            });
        }
    }

    /** Seeds behind which no live member is known: these may belong to another part of the fleet that started apart. */
    private unknownSeeds(): readonly string[] {
        const known = new Set([this.self, ...this.directory.live()].map(({ linkAddress }) => linkAddress));
        return this.seeds.filter((seed) => !known.has(seed));
    }

    /** Tries a lost member again, since it may be cut off from all who know it: both sides of a cut hold each other lost. */
    private tryLost(): void {
        const lost = this.directory.all().filter((member) => member.state !== MemberState.Left && this.directory.isLost(member.vm));
        const member = lost[Math.floor(this.random() * lost.length)];
        if (member !== undefined) {
            void this.network.connect(member.linkAddress);
        }
    }

    private closeSurplus(): void {
        const isControlPeer = (vm: string): boolean => this.self.controlIdentity !== "" && this.directory.record(vm)?.controlIdentity !== "";
        const linked = [...this.network.linkedVms].filter((vm) => !isControlPeer(vm));
        if (linked.length <= MAX_LINKS) {
            return;
        }
        const vm = linked[Math.floor(this.random() * linked.length)] ?? "";
        this.unlinked.add(vm);
        this.network.sendTo(vm, { kind: MessageKind.Unlink });
        setTimeout(() => this.network.unlink(vm), UNLINK_DELAY_MS);
    }

    private sendSummary(): void {
        const peers = [...this.network.linkedVms];
        const peer = peers[Math.floor(this.random() * peers.length)];
        if (peer !== undefined) {
            this.network.sendTo(peer, { kind: MessageKind.MemberSummary, buckets: this.directory.summary() });
        }
    }
}
