import { OrganisationItem } from "../../../src/decisions/items/OrganisationItem.js";
import { LaggingControls } from "../../../src/decisions/quotas/LaggingControls/index.js";
import { QuotaAsk } from "../../../src/decisions/quotas/QuotaAsk.js";
import { QuotaDecision } from "../../../src/decisions/quotas/QuotaDecision.js";
import { QuotaDecisionKind } from "../../../src/decisions/quotas/QuotaDecisionKind.js";
import { QuotaEffect } from "../../../src/decisions/quotas/QuotaEffect.js";
import { QuotaEffectKind } from "../../../src/decisions/quotas/QuotaEffectKind.js";
import { QuotaGrant } from "../../../src/decisions/quotas/QuotaGrant.js";
import { QuotaPath } from "../../../src/decisions/quotas/QuotaPath.js";
import { QuotaShare } from "../../../src/decisions/quotas/QuotaShare/index.js";
import { QuotaStock } from "../../../src/decisions/quotas/QuotaStock/index.js";
import { QuotaTerms } from "../../../src/decisions/quotas/QuotaTerms.js";
import { QuotaView } from "../../../src/decisions/quotas/QuotaView.js";
import { RelaySearch } from "../../../src/decisions/quotas/RelaySearch/index.js";
import { createRandom } from "../../soak/createRandom/index.js";
import { VirtualClock } from "../../soak/VirtualClock/index.js";
import { ModelRequest } from "../ModelRequest.js";
import { QuotaModelOptions } from "../QuotaModelOptions.js";

/** Time without a message after which a control VM no longer counts as live, in ms; that of the proxies. */
const CONTROL_TIMEOUT_MS = 2_200;
/** Interval of the heartbeats, which state the position in the log of changes, in ms. */
const HEARTBEAT_INTERVAL_MS = 1_000;
/** Time until an endpoint has refused a request, in ms. */
const REFUSAL_MS = 8;
const DEADLINE_MS = 3_000;
const MS_PER_SECOND = 1_000;

interface ModelControl {
    readonly vm: string;
    readonly failureDomain: string;
    /** Undefined while the process is down. */
    share: QuotaShare | undefined;
    organisations: readonly OrganisationItem[];
    position: number;
    /** False while it cannot reach the other control VMs. */
    isCurrent: boolean;
    pausedUntilMs: number;
}

interface ModelProxy {
    readonly vm: string;
    stock: QuotaStock;
    relaySearch: RelaySearch;
    readonly lagging: LaggingControls;
    /** Control VMs that it cannot reach, and since when. */
    readonly cutSinceMs: Map<string, number>;
    readonly positions: Map<string, number>;
    organisations: ReadonlyMap<string, OrganisationItem>;
    wakeAtMs: number | undefined;
    pausedUntilMs: number;
}

/**
 * Quotas of a fleet on a virtual clock: the decision modules of control VMs and proxies, messages that take time and get lost, and
 * callers. Everything depends on the seed only.
 */
export class QuotaModel {
    /** All requests, in the order of their decisions. */
    readonly requests: ModelRequest[] = [];
    private readonly clock = VirtualClock.create();
    private readonly random: () => number;
    private readonly controls: readonly ModelControl[];
    private readonly proxies: readonly ModelProxy[];
    private readonly listeners = new Map<string, (decision: QuotaDecision) => void>();
    private organisations: readonly OrganisationItem[];
    private position = 1;
    private refusedShare: number;
    private requestCount = 0;
    private messages = 0;

    private constructor(private readonly options: QuotaModelOptions, private readonly terms: QuotaTerms) {
        this.random = createRandom(options.seed);
        this.organisations = options.organisations;
        this.refusedShare = options.refusedShare;
        this.controls = Array.from({ length: options.controlCount }, (_, index) => ({
            vm: `control-${index}`,
            failureDomain: this.domainOf(index),
            share: this.createShare(options.organisations),
            organisations: options.organisations,
            position: this.position,
            isCurrent: true,
            pausedUntilMs: 0,
        }));
        this.proxies = Array.from({ length: options.proxyCount }, (_, index) => ({
            vm: `proxy-${index}`,
            stock: this.createStock(index),
            relaySearch: RelaySearch.create(this.random),
            lagging: LaggingControls.create(),
            cutSinceMs: new Map(),
            positions: new Map(),
            organisations: new Map(options.organisations.map((organisation) => [organisation.name, organisation])),
            wakeAtMs: undefined,
            pausedUntilMs: 0,
        }));
        this.clock.after(0, () => this.sendHeartbeats());
    }

    /**
     * Creates a fleet in which everything works.
     *
     * @param options - Size, network and organisations.
     * @param terms - Permitted excess.
     */
    static create(options: QuotaModelOptions, terms: QuotaTerms): QuotaModel {
        return new QuotaModel(options, terms);
    }

    /** Number of messages sent. */
    get messageCount(): number {
        return this.messages;
    }

    /** Number of requests granted without contact with a control VM. */
    get localCount(): number {
        return this.proxies.reduce((total, { stock }) => total + stock.localCount, 0);
    }

    /** Runs until a time. */
    run(untilMs: number): void {
        // The heartbeats never end.
        while (this.clock.nowMs < untilMs) {
            this.clock.runNext();
        }
    }

    /** Schedules an action. */
    at(atMs: number, action: () => void): void {
        this.clock.at(atMs, action);
    }

    /**
     * Sends requests of an organisation with random gaps.
     *
     * @param name - Name of the organisation.
     * @param period - Rate, and times of the start and the end.
     * @param chooseProxy - Returns the index of the proxy of a request.
     * @param returnShare - Share of the refused callers that come back.
     */
    send(
        name: string,
        { perSecond, fromMs, untilMs }: { readonly perSecond: number; readonly fromMs: number; readonly untilMs: number },
        chooseProxy: () => number = () => Math.floor(this.random() * this.proxies.length),
        returnShare = 0,
    ): void {
        const sendNext = (): void => {
            if (this.clock.nowMs < untilMs) {
                this.call(name, chooseProxy(), returnShare, false);
                this.clock.after(-Math.log(1 - this.random()) * MS_PER_SECOND / perSecond, sendNext);
            }
        };
        this.clock.at(fromMs, sendNext);
    }

    /** Ends the process of a control VM; its links close at once. */
    killControl(index: number): void {
        const control = this.requireControl(index);
        control.share = undefined;
        this.proxies.forEach((proxy) => proxy.stock.removePath({ vm: control.vm }));
    }

    /** Starts the process of a control VM again. */
    startControl(index: number): void {
        const control = this.requireControl(index);
        control.organisations = this.organisations;
        control.position = this.position;
        control.share = this.createShare(control.organisations);
    }

    /** Pauses a control VM; the messages to it wait. */
    pauseControl(index: number, forMs: number): void {
        this.requireControl(index).pausedUntilMs = this.clock.nowMs + forMs;
    }

    /** Pauses a proxy; callers and replies wait. */
    pauseProxy(index: number, forMs: number): void {
        this.requireProxy(index).pausedUntilMs = this.clock.nowMs + forMs;
    }

    /** Starts the process of a proxy again: its tokens and its state are gone, and so are its waiting requests. */
    restartProxy(index: number): void {
        this.requireProxy(index).relaySearch = RelaySearch.create(this.random);
        this.requireProxy(index).stock = this.createStock(index + this.proxies.length * Math.ceil(this.clock.nowMs));
    }

    /** Cuts proxies off from control VMs. */
    cut(proxies: readonly number[], controls: readonly number[]): void {
        proxies.forEach((proxy) => controls.forEach((control) => {
            this.requireProxy(proxy).cutSinceMs.set(this.requireControl(control).vm, this.clock.nowMs);
        }));
    }

    /** Mends all cuts of proxies. */
    mend(proxies: readonly number[]): void {
        proxies.forEach((proxy) => this.requireProxy(proxy).cutSinceMs.clear());
    }

    /** Cuts a control VM off from the other ones; proxies still reach it. */
    isolateControl(index: number): void {
        this.requireControl(index).isCurrent = false;
    }

    /** Sets the share of the requests that endpoints refuse. */
    setRefusedShare(share: number): void {
        this.refusedShare = share;
    }

    /** Puts changed organisations into force at all control VMs that reach each other, and soon at the proxies. */
    change(organisations: readonly OrganisationItem[]): void {
        this.organisations = organisations;
        this.position += 1;
        this.controls.filter(({ isCurrent, share }) => isCurrent && share !== undefined).forEach((control) => {
            control.organisations = organisations;
            control.position = this.position;
            control.share?.setOrganisations(organisations, this.clock.nowMs);
        });
        this.proxies.forEach((proxy) => this.clock.after(this.options.oneWayMs, () => {
            proxy.organisations = new Map(organisations.map((organisation) => [organisation.name, organisation]));
            this.execute(proxy, proxy.stock.setOrganisations(organisations));
        }));
    }

    private domainOf(index: number): string {
        return `domain-${index % this.options.failureDomainCount}`;
    }

    private createShare(organisations: readonly OrganisationItem[]): QuotaShare {
        const share = QuotaShare.create(this.terms, this.clock.nowMs);
        share.setControlCount(this.options.controlCount, this.clock.nowMs);
        share.setOrganisations(organisations, this.clock.nowMs);
        return share;
    }

    private createStock(seed: number): QuotaStock {
        const random = createRandom(this.options.seed * 1_000 + seed);
        return QuotaStock.create({ vm: `proxy-${seed}`, failureDomain: this.domainOf(seed), terms: this.terms, random });
    }

    private requireControl(index: number): ModelControl {
        return this.controls[index] as ModelControl;
    }

    private requireProxy(index: number): ModelProxy {
        return this.proxies[index] as ModelProxy;
    }

    private viewOf(proxy: ModelProxy): QuotaView {
        const atMs = this.clock.nowMs;
        const controls = [...this.linkedControls(proxy), ...proxy.relaySearch.controls(atMs)];
        return { controls, proxyCount: this.proxies.length, mayFindRelay: proxy.relaySearch.mayFind(atMs) };
    }

    private linkedControls(proxy: ModelProxy): readonly ModelControl[] {
        const atMs = this.clock.nowMs;
        return this.controls.filter(({ vm, share }) => {
            const isLive = atMs - (proxy.cutSinceMs.get(vm) ?? atMs) < CONTROL_TIMEOUT_MS;
            return share !== undefined && isLive && !proxy.lagging.isLagging(vm, atMs);
        });
    }

    private call(name: string, index: number, returnShare: number, isReturn: boolean, sentAtMs = this.clock.nowMs): void {
        const proxy = this.requireProxy(index);
        if (proxy.pausedUntilMs > this.clock.nowMs) {
            this.clock.at(proxy.pausedUntilMs, () => this.call(name, index, returnShare, isReturn, sentAtMs));
            return;
        }
        const organisation = proxy.organisations.get(name);
        if (organisation === undefined) {
            return;
        }
        this.requestCount += 1;
        const request = this.requestCount;
        this.listeners.set(`${request}`, (decision) => {
            const isAdmitted = decision.kind === QuotaDecisionKind.Granted;
            const hasRun = isAdmitted && this.random() >= this.refusedShare;
            const retryAfterMs = isAdmitted ? 0 : decision.retryAfterMs;
            this.requests.push({ organisation: name, sentAtMs, decidedAtMs: this.clock.nowMs, isAdmitted, hasRun, retryAfterMs, isReturn });
            if (isAdmitted && !hasRun) {
                this.clock.after(REFUSAL_MS, () => {
                    proxy.stock.giveBack(name, decision.expiresAtMs);
                    this.execute(proxy, proxy.stock.serve(this.viewOf(proxy), this.clock.nowMs));
                });
            }
            if (!isAdmitted && this.random() < returnShare) {
                this.clock.after(retryAfterMs, () => this.call(name, index, returnShare, true));
            }
        });
        const deadlineAtMs = sentAtMs + DEADLINE_MS;
        this.execute(proxy, proxy.stock.acquire({ request, organisation, deadlineAtMs }, this.viewOf(proxy), this.clock.nowMs));
    }

    private execute(proxy: ModelProxy, effects: readonly QuotaEffect[]): void {
        effects.forEach((effect) => {
            if (effect.kind === QuotaEffectKind.Ask) {
                this.sendAsk(proxy, effect.path, effect.id, [{ organisation: effect.organisation, count: effect.count }]);
            }
            else if (effect.kind === QuotaEffectKind.FindRelays) {
                const others = this.tunnelledProxies(proxy).map(({ vm }) => vm);
                proxy.relaySearch.start(others, this.clock.nowMs).forEach((vm) => this.queryRelay(proxy, vm));
            }
            else if (effect.kind === QuotaEffectKind.RelaySilent) {
                proxy.relaySearch.remove(effect.relay);
            }
            else if (effect.kind === QuotaEffectKind.Decide) {
                this.listeners.get(`${effect.request}`)?.(effect.decision);
                this.listeners.delete(`${effect.request}`);
            }
        });
        this.scheduleWake(proxy);
    }

    /** Runs an action after the time of a message to a process, and after the pause of that process. */
    private deliver(receiver: { readonly pausedUntilMs: number }, action: () => void): void {
        const run = (): void => {
            if (receiver.pausedUntilMs > this.clock.nowMs) {
                this.clock.at(receiver.pausedUntilMs, run);
            }
            else {
                action();
            }
        };
        this.messages += 1;
        this.clock.after(this.options.oneWayMs * (0.5 + this.random()), run);
    }

    /** Proxies to which a proxy has tunnels: some, which differ from proxy to proxy. */
    private tunnelledProxies(proxy: ModelProxy): readonly ModelProxy[] {
        const { length } = this.proxies;
        const index = this.proxies.indexOf(proxy);
        const count = Math.min(this.options.tunnelCount, length - 1);
        return Array.from({ length: count }, (_, step) => this.requireProxy((index + 1 + 7 * step) % length)).filter((other) => other !== proxy);
    }

    /** Asks a proxy which control VMs it reaches; it replies once one of them has replied to it. */
    private queryRelay(proxy: ModelProxy, vm: string): void {
        const { relaySearch } = proxy;
        const relay = this.proxies.find((other) => other.vm === vm) as ModelProxy;
        const apply = (controls: readonly ModelControl[], named: readonly string[]): void => {
            relaySearch.recordStatement(vm, controls, named, this.clock.nowMs).forEach((next) => this.queryRelay(proxy, next));
            this.execute(proxy, proxy.stock.serve(this.viewOf(proxy), this.clock.nowMs));
        };
        this.deliver(relay, () => {
            const controls = this.linkedControls(relay);
            const [probed] = controls;
            const named = relay.relaySearch.relays;
            if (probed === undefined || named.length > 0) {
                this.deliver(proxy, () => apply([], named));
            }
            if (probed === undefined) {
                return;
            }
            this.deliver(probed, () => this.handleAsk(relay, probed, [], () => this.deliver(relay, () => {
                if (!relay.cutSinceMs.has(probed.vm)) {
                    this.deliver(proxy, () => apply(controls, []));
                }
            })));
        });
    }

    private sendAsk(proxy: ModelProxy, path: QuotaPath, id: number, asks: readonly QuotaAsk[]): void {
        const { stock } = proxy;
        const control = this.controls.find(({ vm }) => vm === path.vm);
        const relay = this.proxies.find(({ vm }) => vm === path.relay);
        const sender = relay ?? proxy;
        const apply = (grants: readonly QuotaGrant[]): void => {
            if (proxy.stock === stock) {
                this.execute(proxy, stock.applyGrants(path, id, grants, this.viewOf(proxy), this.clock.nowMs));
            }
        };
        const reply = (grants: readonly QuotaGrant[]): void => this.deliver(sender, () => {
            if (sender.cutSinceMs.has(path.vm)) {
                return;
            }
            if (relay === undefined) {
                apply(grants);
            }
            else {
                this.deliver(proxy, () => apply(grants));
            }
        });
        const ask = (): void => {
            if (control !== undefined) {
                this.deliver(control, () => this.handleAsk(sender, control, asks, reply));
            }
        };
        if (relay === undefined) {
            ask();
        }
        else {
            this.deliver(relay, ask);
        }
    }

    /** Grants tokens, unless the control VM is down or cut off from the proxy that has sent the ask. */
    private handleAsk(sender: ModelProxy, control: ModelControl, asks: readonly QuotaAsk[], reply: (grants: readonly QuotaGrant[]) => void): void {
        if (control.share !== undefined && !sender.cutSinceMs.has(control.vm)) {
            reply(control.share.grant(asks, this.clock.nowMs));
        }
    }

    private scheduleWake(proxy: ModelProxy): void {
        const { wakeAtMs } = proxy.stock;
        if (wakeAtMs !== undefined && wakeAtMs !== proxy.wakeAtMs) {
            proxy.wakeAtMs = wakeAtMs;
            this.clock.at(Math.max(wakeAtMs, proxy.pausedUntilMs), () => this.advance(proxy));
        }
    }

    private advance(proxy: ModelProxy): void {
        proxy.wakeAtMs = undefined;
        this.execute(proxy, proxy.stock.advance(this.viewOf(proxy), this.clock.nowMs));
    }

    private sendHeartbeats(): void {
        const atMs = this.clock.nowMs;
        this.proxies.forEach((proxy) => {
            this.controls.filter(({ vm, share }) => share !== undefined && !proxy.cutSinceMs.has(vm)).forEach(({ vm, position }) => {
                proxy.positions.set(vm, position);
            });
            proxy.lagging.update(proxy.positions, Math.max(...proxy.positions.values()), atMs);
        });
        this.clock.after(HEARTBEAT_INTERVAL_MS, () => this.sendHeartbeats());
    }
}
