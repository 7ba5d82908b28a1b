import { nowMs } from "../../clock/nowMs/index.js";
import { QuotaPort } from "../../callers/QuotaPort.js";
import { OrganisationItem } from "../../decisions/items/OrganisationItem.js";
import { ItemKind } from "../../decisions/items/ItemKind.js";
import { VersionedItem } from "../../decisions/items/VersionedItem.js";
import { QuotaDecision } from "../../decisions/quotas/QuotaDecision.js";
import { QuotaEffect } from "../../decisions/quotas/QuotaEffect.js";
import { QuotaEffectKind } from "../../decisions/quotas/QuotaEffectKind.js";
import { QuotaGrant } from "../../decisions/quotas/QuotaGrant.js";
import { QuotaStock } from "../../decisions/quotas/QuotaStock/index.js";
import { QuotaStockOptions } from "../../decisions/quotas/QuotaStockOptions.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { MessageKind } from "../../links/MessageKind.js";
import { GaugeSource } from "../../metrics/GaugeSource.js";
import { assertNever } from "../../model/assertNever/index.js";
import { QuotaClientDependencies } from "../QuotaClientDependencies.js";

/** Takes tokens for requests of organisations, on a proxy. Sends messages and sets timers only while requests need tokens. */
export class QuotaClient implements QuotaPort {
    private readonly stock: QuotaStock;
    private readonly listeners = new Map<number, (decision: QuotaDecision) => void>();
    private requestCount = 0;
    private timer: NodeJS.Timeout | undefined;
    private timerAtMs: number | undefined;

    private constructor(
        options: QuotaStockOptions,
        private readonly dependencies: QuotaClientDependencies,
        private readonly events: EventLog,
    ) {
        this.stock = QuotaStock.create(options);
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

    /** Gauges of the state of the quotas. */
    get gauges(): readonly GaugeSource[] {
        return [
            { name: "quota_tokens", help: "Tokens of organisations that are held", read: () => this.stock.tokenCount },
            { name: "quota_waiting", help: "Requests that wait for a token of their organisation", read: () => this.stock.waitingCount },
            { name: "quota_local_grants", help: "Requests granted without contact with a control VM", read: () => this.stock.localCount },
        ];
    }

    acquire(organisation: OrganisationItem, deadlineAtMs: number, onDecision: (decision: QuotaDecision) => void): void {
        this.requestCount += 1;
        const request = this.requestCount;
        this.listeners.set(request, onDecision);
        this.run(this.stock.acquire({ request, organisation, deadlineAtMs }, this.dependencies.view(), nowMs()));
    }

    giveBack(organisation: string, expiresAtMs: number): void {
        this.stock.giveBack(organisation, expiresAtMs);
        this.serve();
    }

    /** Applies the reply of a control VM; malformed grants are skipped. */
    handleGrants(controlVm: string, grants: readonly unknown[]): void {
        this.run(this.stock.applyGrants(controlVm, grants.filter(isQuotaGrant), this.dependencies.view(), nowMs()));
    }

    /** Handles the end of the link to a control VM. */
    handleLinkClose(controlVm: string): void {
        this.stock.removeControl(controlVm);
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

    private serve(): void {
        this.run(this.stock.serve(this.dependencies.view(), nowMs()));
    }

    private run(effects: readonly QuotaEffect[]): void {
        const lostVms = effects.flatMap((effect) => this.execute(effect));
        if (lostVms.length > 0) {
            lostVms.forEach((vm) => this.stock.removeControl(vm));
            this.serve();
        }
        this.schedule();
    }

    /** Executes an effect; returns the control VM that it could not be sent to, if any. */
    private execute(effect: QuotaEffect): readonly string[] {
        switch (effect.kind) {
            case QuotaEffectKind.Ask: {
                const asks = [{ organisation: effect.organisation, count: effect.count }];
                return this.dependencies.send(effect.controlVm, { kind: MessageKind.QuotaRequest, asks }) ? [] : [effect.controlVm];
            }
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

    private schedule(): void {
        const { wakeAtMs } = this.stock;
        if (wakeAtMs === this.timerAtMs) {
            return;
        }
        clearTimeout(this.timer);
        this.timerAtMs = wakeAtMs;
        this.timer = wakeAtMs === undefined ? undefined : setTimeout(() => this.handleTimer(), Math.max(0, Math.ceil(wakeAtMs - nowMs())));
    }

    /** Lets replies be read first that came while the process was paused. */
    private handleTimer(): void {
        setImmediate(() => {
            this.timerAtMs = undefined;
            this.run(this.stock.advance(this.dependencies.view(), nowMs()));
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
