import { nowMs } from "../../clock/nowMs/index.js";
import { ItemKind } from "../../decisions/items/ItemKind.js";
import { VersionedItem } from "../../decisions/items/VersionedItem.js";
import { QuotaAsk } from "../../decisions/quotas/QuotaAsk.js";
import { QuotaShare } from "../../decisions/quotas/QuotaShare/index.js";
import { QuotaTerms } from "../../decisions/quotas/QuotaTerms.js";
import { Message } from "../../links/Message.js";
import { MessageKind } from "../../links/MessageKind.js";
import { GaugeSource } from "../../metrics/GaugeSource.js";
import { isShortText } from "../../model/isShortText/index.js";

/** Maximum number of organisations in a request. */
const MAX_ASKS = 256;
/** Maximum number of tokens in an ask; several times what a proxy uses in the lease of a token. */
const MAX_COUNT = 100_000;

/** Grants tokens of the organisations' quotas to proxies, on a control VM. Needs no timer. */
export class QuotaGranter {
    private constructor(private readonly share: QuotaShare, private readonly countControls: () => number) {}

    /**
     * Creates a granter without organisations.
     *
     * @param terms - Permitted excess.
     * @param countControls - Returns the number of control VMs among which the limits are divided.
     */
    static create(terms: QuotaTerms, countControls: () => number): QuotaGranter {
        return new QuotaGranter(QuotaShare.create(terms, nowMs()), countControls);
    }

    /** Gauges of the state of the quotas. */
    get gauges(): readonly GaugeSource[] {
        return [
            { name: "quota_organisations", help: "Organisations with a limit", read: () => this.share.limitedCount },
            { name: "quota_grants", help: "Tokens granted to proxies since the start", read: () => this.share.grantedCount },
        ];
    }

    /** Records, before any items are in force, that nothing was granted before this run. */
    recordFirstRun(): void {
        this.share.recordFirstRun();
    }

    /** Sets the configuration items in force. */
    setItems(items: readonly VersionedItem[]): void {
        const organisations = items.flatMap(({ content }) => content?.kind === ItemKind.Organisation ? [content] : []);
        this.share.setOrganisations(organisations, nowMs());
    }

    /** Handles a request for tokens; returns the reply. */
    handleRequest(asks: readonly unknown[]): Message {
        const atMs = nowMs();
        this.share.setControlCount(this.countControls(), atMs);
        return { kind: MessageKind.QuotaGrant, grants: this.share.grant(asks.slice(0, MAX_ASKS).filter(isQuotaAsk), atMs) };
    }
}

function isQuotaAsk(value: unknown): value is QuotaAsk {
    if (typeof value !== "object" || value === null) {
        return false;
    }
    const { organisation, count } = value as Readonly<Record<string, unknown>>;
    return isShortText(organisation) && Number.isInteger(count) && Number(count) >= 0 && Number(count) <= MAX_COUNT;
}
