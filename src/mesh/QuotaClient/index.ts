import { nowMs } from "../../clock/nowMs/index.js";
import { QuotaPort } from "../../callers/QuotaPort.js";
import { OrganisationItem } from "../../decisions/items/OrganisationItem.js";
import { ItemKind } from "../../decisions/items/ItemKind.js";
import { VersionedItem } from "../../decisions/items/VersionedItem.js";
import { QuotaDecision } from "../../decisions/quotas/QuotaDecision.js";
import { QuotaEffect } from "../../decisions/quotas/QuotaEffect.js";
import { QuotaEffectKind } from "../../decisions/quotas/QuotaEffectKind.js";
import { QuotaControl } from "../../decisions/quotas/QuotaControl.js";
import { QuotaGrant } from "../../decisions/quotas/QuotaGrant.js";
import { QuotaPath } from "../../decisions/quotas/QuotaPath.js";
import { QuotaStock } from "../../decisions/quotas/QuotaStock/index.js";
import { QuotaStockOptions } from "../../decisions/quotas/QuotaStockOptions.js";
import { QuotaView } from "../../decisions/quotas/QuotaView.js";
import { RelaySearch } from "../../decisions/quotas/RelaySearch/index.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { MessageKind } from "../../links/MessageKind.js";
import { GaugeSource } from "../../metrics/GaugeSource.js";
import { assertNever } from "../../model/assertNever/index.js";
import { isShortText } from "../../model/isShortText/index.js";
import { ProxyMessage } from "../../tunnel/ProxyMessage.js";
import { ProxyMessageKind } from "../../tunnel/ProxyMessageKind.js";
import { QuotaClientDependencies } from "../QuotaClientDependencies.js";

/** Delay of a timer beyond which the process counts as having been held up, in ms; timers are late by a few ms in any case. */
const MAX_TIMER_DELAY_MS = 25;
/** Maximum number of control VMs in the statement of a proxy. */
const MAX_CONTROLS = 64;

/** Takes tokens for requests of organisations, on a proxy. Sends messages and sets timers only while requests need tokens. */
export class QuotaClient implements QuotaPort {
    private readonly stock: QuotaStock;
    private readonly relaySearch: RelaySearch;
    private readonly listeners = new Map<number, (decision: QuotaDecision) => void>();
    private requestCount = 0;
    private timer: NodeJS.Timeout | undefined;
    private timerAtMs: number | undefined;
    /** Time at which the timer should run; later than `timerAtMs` if that had passed when the timer was set. */
    private timerDueAtMs = 0;

    private constructor(
        options: QuotaStockOptions,
        private readonly dependencies: QuotaClientDependencies,
        private readonly events: EventLog,
    ) {
        this.stock = QuotaStock.create(options);
        this.relaySearch = RelaySearch.create(options.random);
    }

    /**
     * Creates a client without tokens.
     *
     * @param options - Settings of the stock.
     * @param dependencies - Links and fleet.
     * @param events - Event log.
     */
    static create(options: QuotaStockOptions, dependencies: QuotaClientDependencies, events: EventLog): QuotaClient {
        return new QuotaClient(options, dependencies, events);
    }

    /** Proxies that pass asks on to control VMs, as far as known. */
    get relays(): readonly string[] {
        return this.relaySearch.relays;
    }

    /** Gauges of the state of the quotas. */
    get gauges(): readonly GaugeSource[] {
        return [
            { name: "quota_tokens", help: "Tokens of organisations that are held", read: () => this.stock.tokenCount },
            { name: "quota_waiting", help: "Requests that wait for a token of their organisation", read: () => this.stock.waitingCount },
            { name: "quota_local_grants", help: "Requests granted without contact with a control VM", read: () => this.stock.localCount },
            { name: "quota_relays", help: "Proxies that pass asks for tokens on to control VMs", read: () => this.relaySearch.relayCount },
        ];
    }

    acquire(organisation: OrganisationItem, deadlineAtMs: number, onDecision: (decision: QuotaDecision) => void): void {
        this.requestCount += 1;
        const request = this.requestCount;
        this.listeners.set(request, onDecision);
        this.run(this.stock.acquire({ request, organisation, deadlineAtMs }, this.view(), nowMs()));
    }

    giveBack(organisation: string, expiresAtMs: number): void {
        this.stock.giveBack(organisation, expiresAtMs);
        this.serve();
    }

    /** Applies the reply of a control VM; malformed grants are skipped. */
    handleGrants(controlVm: string, id: number, grants: readonly unknown[]): void {
        this.applyGrants({ vm: controlVm }, id, grants);
    }

    /** Handles a message of another proxy about control VMs that it reaches; malformed ones are ignored. */
    handleProxyMessage(proxy: string, message: ProxyMessage): void {
        if (message.kind === ProxyMessageKind.RelayStatement && Array.isArray(message.controls)) {
            const controls = message.controls.slice(0, MAX_CONTROLS).filter(isQuotaControl);
            const named = Array.isArray(message.relays) ? message.relays.filter(isShortText) : [];
            this.query(this.relaySearch.recordStatement(proxy, controls, named, nowMs()));
            this.serve();
        }
        else if (message.kind === ProxyMessageKind.RelayedGrant && Array.isArray(message.grants)) {
            this.applyGrants({ vm: message.controlVm, relay: proxy }, message.id, message.grants);
        }
    }

    /** Handles the end of the link to a control VM. */
    handleLinkClose(controlVm: string): void {
        this.stock.removePath({ vm: controlVm });
        this.serve();
    }

    /** Sets the configuration items in force. */
    setItems(items: readonly VersionedItem[]): void {
        const organisations = items.flatMap(({ content }) => content?.kind === ItemKind.Organisation ? [content] : []);
        this.run(this.stock.setOrganisations(organisations));
    }

    /** Stops the timer. Requests that still wait get no decision. */
    close(): void {
        clearTimeout(this.timer);
        this.listeners.clear();
    }

    private applyGrants(path: QuotaPath, id: number, grants: readonly unknown[]): void {
        this.run(this.stock.applyGrants(path, id, grants.filter(isQuotaGrant), this.view(), nowMs()));
    }

    /** What is known about the fleet, with the control VMs that are reached through other proxies. */
    private view(): QuotaView {
        const view = this.dependencies.view();
        const atMs = nowMs();
        const mayFindRelay = this.relaySearch.mayFind(atMs) && this.dependencies.proxies().length > 0;
        return { ...view, controls: [...view.controls, ...this.relaySearch.controls(atMs)], mayFindRelay };
    }

    private query(proxies: readonly string[]): void {
        proxies.forEach((proxy) => this.dependencies.sendToProxy(proxy, { kind: ProxyMessageKind.RelayQuery }));
    }

    private serve(): void {
        this.run(this.stock.serve(this.view(), nowMs()));
    }

    private run(effects: readonly QuotaEffect[]): void {
        const lostPaths = effects.flatMap((effect) => this.execute(effect));
        if (lostPaths.length > 0) {
            lostPaths.forEach((path) => this.stock.removePath(path));
            this.serve();
        }
        this.schedule();
    }

    /** Executes an effect; returns the path that it could not be sent on, if any. */
    private execute(effect: QuotaEffect): readonly QuotaPath[] {
        switch (effect.kind) {
            case QuotaEffectKind.Ask:
                return this.sendAsk(effect) ? [] : [effect.path];
            case QuotaEffectKind.FindRelays:
                this.query(this.relaySearch.start(this.dependencies.proxies(), nowMs()));
                return [];
            case QuotaEffectKind.RelaySilent:
                this.relaySearch.remove(effect.relay);
                return [];
            case QuotaEffectKind.Decide: {
                const listener = this.listeners.get(effect.request);
                this.listeners.delete(effect.request);
                listener?.(effect.decision);
                return [];
            }
            case QuotaEffectKind.ContactChanged:
                this.events.record(
                    effect.hasContact ? EventNumber.QuotaContactRegained : EventNumber.QuotaContactLost,
                    { localGrants: effect.localGrants },
                );
                return [];
            case QuotaEffectKind.RefusalsChanged:
                this.events.record(
                    effect.isRefusing ? EventNumber.QuotaExceeded : EventNumber.QuotaRestored,
                    { organisation: effect.organisation, refusals: effect.refusals },
                );
                return [];
            default:
                return assertNever(effect);
        }
    }

    private sendAsk({ path: { vm, relay }, id, organisation, count }: Extract<QuotaEffect, { kind: QuotaEffectKind.Ask }>): boolean {
        const asks = [{ organisation, count }];
        if (relay === undefined) {
            return this.dependencies.send(vm, { kind: MessageKind.QuotaRequest, id, asks });
        }
        const isSent = this.dependencies.sendToProxy(relay, { kind: ProxyMessageKind.RelayedAsk, controlVm: vm, id, asks });
        if (!isSent) {
            this.relaySearch.remove(relay);
        }
        return isSent;
    }

    /** Time of the next event of the stock or of the search for relays, in ms, or undefined if none is due. */
    private get wakeAtMs(): number | undefined {
        const { stock, relaySearch } = this;
        const isSearching = stock.waitingCount > 0 && nowMs() < relaySearch.endsAtMs;
        const times = [stock.wakeAtMs, isSearching ? relaySearch.endsAtMs : undefined].filter((time) => time !== undefined);
        return times.length === 0 ? undefined : Math.min(...times);
    }

    private schedule(): void {
        const { wakeAtMs } = this;
        if (wakeAtMs === this.timerAtMs) {
            return;
        }
        clearTimeout(this.timer);
        this.timerAtMs = wakeAtMs;
        this.timer = undefined;
        if (wakeAtMs !== undefined) {
            const atMs = nowMs();
            this.timerDueAtMs = Math.max(atMs, wakeAtMs);
            this.timer = setTimeout(() => this.handleTimer(), Math.ceil(this.timerDueAtMs - atMs));
        }
    }

    /** Lets replies be read first that came while the process did not run, and waits longer for those that did not. */
    private handleTimer(): void {
        const lateMs = nowMs() - this.timerDueAtMs;
        setImmediate(() => {
            this.timerAtMs = undefined;
            if (lateMs > MAX_TIMER_DELAY_MS) {
                this.stock.restartWaits(nowMs());
            }
            this.run(this.stock.advance(this.view(), nowMs()));
        });
    }
}

function isQuotaGrant(value: unknown): value is QuotaGrant {
    if (typeof value !== "object" || value === null) {
        return false;
    }
    const { organisation, count, waitMs } = value as Readonly<Record<string, unknown>>;
    return typeof organisation === "string" && Number.isInteger(count) && Number(count) >= 0 && Number.isFinite(waitMs) && Number(waitMs) >= 0;
}

function isQuotaControl(value: unknown): value is QuotaControl {
    if (typeof value !== "object" || value === null) {
        return false;
    }
    const { vm, failureDomain } = value as Readonly<Record<string, unknown>>;
    return isShortText(vm) && isShortText(failureDomain);
}
