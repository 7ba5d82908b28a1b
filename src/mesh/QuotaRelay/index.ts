import { nowMs } from "../../clock/nowMs/index.js";
import { QuotaAsk } from "../../decisions/quotas/QuotaAsk.js";
import { QuotaControl } from "../../decisions/quotas/QuotaControl.js";
import { QuotaGrant } from "../../decisions/quotas/QuotaGrant.js";
import { Message } from "../../links/Message.js";
import { MessageKind } from "../../links/MessageKind.js";
import { GaugeSource } from "../../metrics/GaugeSource.js";
import { ProxyMessage } from "../../tunnel/ProxyMessage.js";
import { ProxyMessageKind } from "../../tunnel/ProxyMessageKind.js";

/** Time after which a reply is not passed on any more, in ms; the proxy that has asked waits for less. */
const REPLY_TIMEOUT_MS = 1_000;
/** Time for which the reply of a control VM shows that this proxy reaches it, in ms; shorter than links take to notice a cut. */
const PROOF_VALIDITY_MS = 300;
/** Time after which a control VM is probed again, in ms; by then the proxies that have asked no longer wait. */
const PROBE_TIMEOUT_MS = 150;
/** Number of control VMs that are probed, in case one of them has stopped. */
const PROBED_CONTROLS = 2;
/** Maximum number of asks without a reply; several times those of the proxies of a large fleet at one relay. */
const MAX_PENDING = 4_096;

interface PendingAsk {
    readonly controlVm: string;
    /** Number of the ask at the proxy that has sent it. */
    readonly id: number;
    readonly atMs: number;
    readonly reply: (message: ProxyMessage) => void;
}

/** What `QuotaRelay` works with. */
interface QuotaRelayDependencies {
    /** Control VMs that this proxy has live links to. */
    controls(): readonly QuotaControl[];
    /** Other proxies that reach control VMs, as far as known. */
    relays(): readonly string[];
    /** Sends a message to a control VM; returns false if there is no link. */
    send(vm: string, message: Message): boolean;
}

/** Passes asks for tokens of other proxies on to control VMs, and the replies back. */
export class QuotaRelay {
    /** Asks without a reply by their number here, the oldest first. */
    private readonly pending = new Map<number, PendingAsk>();
    /** Proxies that wait until a control VM has replied to a probe. */
    private queries: ((message: ProxyMessage) => void)[] = [];
    private probedAtMs = Number.NEGATIVE_INFINITY;
    private provenAtMs = Number.NEGATIVE_INFINITY;
    private latestId = 0;
    private passedOn = 0;

    private constructor(private readonly dependencies: QuotaRelayDependencies) {}

    /**
     * Creates a relay.
     *
     * @param dependencies - Links to the control VMs.
     */
    static create(dependencies: QuotaRelayDependencies): QuotaRelay {
        return new QuotaRelay(dependencies);
    }

    /** Gauges of what was passed on. */
    get gauges(): readonly GaugeSource[] {
        return [{ name: "quota_relayed_asks", help: "Asks for tokens of other proxies passed on since the start", read: () => this.passedOn }];
    }

    /**
     * Handles a message of another proxy.
     *
     * @param message - The message.
     * @param reply - Sends a message back.
     */
    handleMessage(message: ProxyMessage, reply: (message: ProxyMessage) => void): void {
        if (message.kind === ProxyMessageKind.RelayQuery) {
            this.handleQuery(reply);
        }
        else if (message.kind === ProxyMessageKind.RelayedAsk && Array.isArray(message.asks)) {
            this.passOn(message.controlVm, message.id, message.asks, reply);
        }
    }

    /**
     * Handles the reply of a control VM.
     *
     * @returns False if it belongs to an ask of this proxy itself.
     */
    handleGrants(controlVm: string, id: number, grants: readonly QuotaGrant[]): boolean {
        this.provenAtMs = nowMs();
        this.queries.splice(0).forEach((reply) => this.state(reply));
        if (id >= 0) {
            return false;
        }
        const ask = this.pending.get(id);
        if (ask?.controlVm === controlVm) {
            this.pending.delete(id);
            ask.reply({ kind: ProxyMessageKind.RelayedGrant, controlVm, id: ask.id, grants });
        }
        return true;
    }

    /**
     * Replies once a control VM has replied lately. A live link alone does not show that: it takes seconds to notice a cut, and the
     * proxies that are cut off at the same time would all point to each other.
     */
    private handleQuery(reply: (message: ProxyMessage) => void): void {
        const controls = this.dependencies.controls();
        const atMs = nowMs();
        if (controls.length === 0 || atMs < this.provenAtMs + PROOF_VALIDITY_MS) {
            this.state(reply);
            return;
        }
        if (this.dependencies.relays().length > 0) {
            this.state(reply, []);
        }
        if (atMs >= this.probedAtMs + PROBE_TIMEOUT_MS) {
            this.probedAtMs = atMs;
            this.queries = [];
            controls.slice(0, PROBED_CONTROLS).forEach(({ vm }) => {
                this.dependencies.send(vm, { kind: MessageKind.QuotaRequest, id: this.nextId(), asks: [] });
            });
        }
        if (this.queries.length < MAX_PENDING) {
            this.queries.push(reply);
        }
    }

    /** Returns a negative number, so that it differs from those of the asks of this proxy itself. */
    private nextId(): number {
        this.latestId -= 1;
        return this.latestId;
    }

    private passOn(controlVm: string, id: number, asks: readonly QuotaAsk[], reply: (message: ProxyMessage) => void): void {
        const isReachable = this.dependencies.controls().some(({ vm }) => vm === controlVm);
        const ownId = this.nextId();
        this.dropOldest();
        if (!isReachable || !this.dependencies.send(controlVm, { kind: MessageKind.QuotaRequest, id: ownId, asks })) {
            this.state(reply);
            return;
        }
        this.passedOn += 1;
        this.pending.set(ownId, { controlVm, id, atMs: nowMs(), reply });
    }

    private state(reply: (message: ProxyMessage) => void, reached = this.dependencies.controls()): void {
        const controls = reached.map(({ vm, failureDomain }) => ({ vm, failureDomain }));
        reply({ kind: ProxyMessageKind.RelayStatement, controls, relays: this.dependencies.relays() });
    }

    private dropOldest(): void {
        const expiredAtMs = nowMs() - REPLY_TIMEOUT_MS;
        for (const [id, { atMs }] of this.pending) {
            if (this.pending.size < MAX_PENDING && atMs > expiredAtMs) {
                return;
            }
            this.pending.delete(id);
        }
    }
}
