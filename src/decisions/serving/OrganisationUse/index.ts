/** Time constant of the moving demand of an organisation, in ms: short against minutes of a surge, long against one service time. */
const DEMAND_TIME_CONSTANT_MS = 5_000;
/** Demand below which an organisation is forgotten, in requests: one that has sent a single request is known for about 15 s. */
const MIN_DEMAND = 0.05;
/**
 * Part of the weights that is equal for all organisations; the rest is in proportion to demand. With all of it equal, the largest of
 * many organisations would get far less than the mean; with none, a surge of one would take from all others alike.
 */
const EQUAL_SHARE = 0.5;
/** Number of requests by which an organisation that was refused may be behind the others and catch up. */
const MAX_OWED_REQUESTS = 4;

interface Account {
    demand: number;
    demandAtMs: number;
    /** Virtual time at which its next request starts. */
    startTag: number;
    /** True if a request was refused since its last start, so that it may catch up. */
    isOwed: boolean;
}

/**
 * Recent use of one endpoint by organisations, by start-time fair queueing: each start moves the start tag of its organisation on
 * by the inverse of its weight, and the lowest tag goes first. An organisation that has sent nothing gains no right to a burst.
 *
 * Designed for 86 organisations of very uneven size, of which one sends 8 times its usual load for some seconds.
 */
export class OrganisationUse {
    private readonly accounts = new Map<string, Account>();
    private totalDemand = 0;
    private totalAtMs = 0;
    private sweptAtMs = 0;
    /** Highest start tag of a started request. */
    private virtualTime = 0;

    private constructor() {}

    /** Creates a record without any use. */
    static create(): OrganisationUse {
        return new OrganisationUse();
    }

    /** Number of organisations that are remembered. */
    get size(): number {
        return this.accounts.size;
    }

    /**
     * Records an offered request.
     *
     * @param organisation - Organisation of the request.
     * @param isWaiting - Whether other requests of the organisation wait.
     * @param nowMs - Current time.
     */
    recordArrival(organisation: string, isWaiting: boolean, nowMs: number): void {
        this.sweep(nowMs);
        this.totalDemand = decay(this.totalDemand, nowMs - this.totalAtMs) + 1;
        this.totalAtMs = nowMs;
        const account = this.accounts.get(organisation) ?? { demand: 0, demandAtMs: nowMs, startTag: this.virtualTime, isOwed: false };
        account.demand = decay(account.demand, nowMs - account.demandAtMs) + 1;
        account.demandAtMs = nowMs;
        this.accounts.set(organisation, account);
        if (!isWaiting) {
            const owed = account.isOwed ? MAX_OWED_REQUESTS * this.accounts.size : 0;
            account.startTag = Math.max(account.startTag, this.virtualTime - owed);
        }
    }

    /** Records that a request of an organisation was refused or displaced, so that the organisation may catch up. */
    recordRefusal(organisation: string): void {
        const account = this.accounts.get(organisation);
        if (account !== undefined) {
            account.isOwed = true;
        }
    }

    /** Records the start of a request and returns its cost, by which `withdrawStart` reverts it. */
    recordStart(organisation: string, nowMs: number): number {
        const account = this.accounts.get(organisation);
        if (account === undefined) {
            return 0;
        }
        const cost = this.cost(organisation, nowMs);
        this.virtualTime = Math.max(this.virtualTime, account.startTag);
        account.startTag += cost;
        account.isOwed = false;
        return cost;
    }

    /** Reverts the start of a request that was not sent to the endpoint after all. */
    withdrawStart(organisation: string, cost: number): void {
        const account = this.accounts.get(organisation);
        if (account !== undefined) {
            account.startTag -= cost;
        }
    }

    /** Virtual time at which the next request of an organisation starts; the lowest goes first. */
    startTag(organisation: string): number {
        return this.accounts.get(organisation)?.startTag ?? this.virtualTime;
    }

    /** Virtual time at which a request of an organisation would start that none waits of. */
    nextTag(organisation: string): number {
        return Math.max(this.startTag(organisation), this.virtualTime);
    }

    /** Virtual time that one request of an organisation takes: the inverse of its weight. */
    cost(organisation: string, nowMs: number): number {
        const account = this.accounts.get(organisation);
        const total = decay(this.totalDemand, nowMs - this.totalAtMs);
        const demand = account === undefined ? 0 : decay(account.demand, nowMs - account.demandAtMs);
        const proportionalShare = total > 0 ? Math.min(1, demand / total) : 0;
        return 1 / (EQUAL_SHARE / Math.max(1, this.accounts.size) + (1 - EQUAL_SHARE) * proportionalShare);
    }

    private sweep(nowMs: number): void {
        if (nowMs - this.sweptAtMs < DEMAND_TIME_CONSTANT_MS) {
            return;
        }
        this.sweptAtMs = nowMs;
        this.accounts.forEach((account, organisation) => {
            if (decay(account.demand, nowMs - account.demandAtMs) < MIN_DEMAND) {
                this.accounts.delete(organisation);
            }
        });
    }
}

function decay(amount: number, elapsedMs: number): number {
    return amount * Math.exp(-Math.max(0, elapsedMs) / DEMAND_TIME_CONSTANT_MS);
}
