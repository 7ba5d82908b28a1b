import { OrganisationItem } from "../../items/OrganisationItem.js";
import { TokenBucket } from "../../limits/TokenBucket/index.js";
import { QuotaAsk } from "../QuotaAsk.js";
import { quotaBounds } from "../quotaBounds/index.js";
import { QuotaGrant } from "../QuotaGrant.js";
import { QuotaTerms } from "../QuotaTerms.js";

/** Time after which a proxy asks again for an organisation that this control VM does not know yet, in ms; several heartbeats of the log. */
const UNKNOWN_WAIT_MS = 200;
/** Maximum wait that is stated, in ms, so that a proxy soon learns of a raised limit. */
const MAX_WAIT_MS = 5_000;

interface Account {
    readonly organisation: OrganisationItem;
    readonly bucket: TokenBucket | undefined;
}

/**
 * Share of a control VM in the quotas of all organisations. Each control VM grants its own part of each limit, so that the sum
 * stays within the limit whichever of them can reach each other, without a leader or a store.
 *
 * Designed for one organisation that sends eight times its usual load while control VMs fail and return.
 */
export class QuotaShare {
    private readonly accounts = new Map<string, Account>();
    private grantedTotal = 0;
    private controlCount = 1;

    private constructor(private readonly terms: QuotaTerms, private emptyAtMs: number) {}

    /**
     * Creates a share whose buckets are empty now, since the grants of an earlier run are unknown. The bucket of an organisation
     * that becomes known later has filled up since.
     *
     * @param terms - Permitted excess.
     * @param nowMs - Current time.
     */
    static create(terms: QuotaTerms, nowMs: number): QuotaShare {
        return new QuotaShare(terms, nowMs);
    }

    /** Number of tokens granted. */
    get grantedCount(): number {
        return this.grantedTotal;
    }

    /** Number of organisations with a limit. */
    get limitedCount(): number {
        return [...this.accounts.values()].filter(({ bucket }) => bucket !== undefined).length;
    }

    /** Records, before any organisation is known, that there was no earlier run, so that buckets start full. */
    recordFirstRun(): void {
        this.emptyAtMs = Number.NEGATIVE_INFINITY;
    }

    /** Sets the number of control VMs among which the limits are divided. */
    setControlCount(controlCount: number, nowMs: number): void {
        if (controlCount !== this.controlCount) {
            this.controlCount = controlCount;
            this.setOrganisations([...this.accounts.values()].map(({ organisation }) => organisation), nowMs);
        }
    }

    /** Sets the organisations in force. Buckets keep their tokens, up to their new capacity. */
    setOrganisations(organisations: readonly OrganisationItem[], nowMs: number): void {
        const names = new Set(organisations.map(({ name }) => name));
        [...this.accounts].filter(([name]) => !names.has(name)).forEach(([name, { bucket }]) => {
            this.accounts.delete(name);
            // One that comes back must not get the tokens again that were granted before it was removed.
            this.emptyAtMs = bucket === undefined ? this.emptyAtMs : nowMs;
        });
        organisations.forEach((organisation) => {
            const former = this.accounts.get(organisation.name)?.bucket;
            this.accounts.set(organisation.name, { organisation, bucket: this.updateBucket(organisation, former, nowMs) });
        });
    }

    /**
     * Grants tokens.
     *
     * @param asks - Tokens that a proxy asks for.
     * @param nowMs - Current time.
     * @returns One grant for each ask, in the same order.
     */
    grant(asks: readonly QuotaAsk[], nowMs: number): readonly QuotaGrant[] {
        return asks.map((ask) => this.grantOne(ask, nowMs));
    }

    private grantOne({ organisation, count }: QuotaAsk, nowMs: number): QuotaGrant {
        const account = this.accounts.get(organisation);
        if (account === undefined) {
            return { organisation, count: 0, waitMs: UNKNOWN_WAIT_MS };
        }
        if (account.bucket === undefined) {
            return { organisation, count, waitMs: 0 };
        }
        const granted = account.bucket.takeUpTo(count, nowMs);
        this.grantedTotal += granted;
        return { organisation, count: granted, waitMs: Math.min(MAX_WAIT_MS, account.bucket.waitMs(1, nowMs)) };
    }

    private updateBucket(organisation: OrganisationItem, former: TokenBucket | undefined, nowMs: number): TokenBucket | undefined {
        if (organisation.ratePerSecond <= 0) {
            return undefined;
        }
        const perSecond = organisation.ratePerSecond / this.controlCount;
        const capacity = Math.max(1, quotaBounds(organisation, this.terms).capacity / this.controlCount);
        if (former === undefined) {
            return TokenBucket.createEmpty(perSecond, capacity, this.emptyAtMs);
        }
        former.setRate(perSecond, capacity, nowMs);
        return former;
    }
}
