import { MovingCount } from "../MovingCount/index.js";

/** Time constant of the recent demand of an organisation, in ms: long against one service time. */
const RECENT_TIME_CONSTANT_MS = 5_000;
/** Time constant of the usual demand of an organisation, in ms: long against a surge of some seconds. */
const USUAL_TIME_CONSTANT_MS = 60_000;
/** Interval at which organisations that send nothing are looked for, in ms. */
const SWEEP_INTERVAL_MS = 5_000;
/** Demand below which an organisation counts as sending nothing, in requests. */
const MIN_DEMAND = 0.05;
/**
 * Parts of the weights. One is equal for all organisations that send, one in proportion to their recent demand and one to their usual
 * demand. The recent part keeps each above a quarter of the mean, whatever it sends; with the usual part, an organisation that surges gets
 * less than one that is always as large.
 */
const EQUAL_SHARE = 0.4;
const RECENT_SHARE = 0.3;
const USUAL_SHARE = 0.3;
/** Maximum number of organisations with an account; further ones share one, as a peer might send any names. */
const MAX_ACCOUNTS = 1_024;
/** Name of the account that the organisations beyond the maximum share. */
const SHARED_ACCOUNT = "";
/** Number of requests by which an organisation that was refused may be behind the others and catch up. */
const MAX_OWED_REQUESTS = 4;

interface Account {
    readonly recent: MovingCount;
    readonly usual: MovingCount;
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
    private readonly totalRecent = MovingCount.create(RECENT_TIME_CONSTANT_MS);
    private readonly totalUsual = MovingCount.create(USUAL_TIME_CONSTANT_MS);
    /** Names of the accounts with recent demand. */
    private readonly active = new Set<string>();
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
        const name = this.accountName(organisation);
        const account = this.accounts.get(name) ?? this.createAccount();
        [this.totalRecent, this.totalUsual, account.recent, account.usual].forEach((count) => {
            count.add(nowMs);
        });
        this.accounts.set(name, account);
        this.active.add(name);
        if (!isWaiting) {
            const owed = account.isOwed ? MAX_OWED_REQUESTS * this.active.size : 0;
            account.startTag = Math.max(account.startTag, this.virtualTime - owed);
        }
    }

    /** Records that a request of an organisation was refused or displaced, so that the organisation may catch up. */
    recordRefusal(organisation: string): void {
        const account = this.find(organisation);
        if (account !== undefined) {
            account.isOwed = true;
        }
    }

    /** Records the start of a request and returns its cost, by which `withdrawStart` reverts it. */
    recordStart(organisation: string, nowMs: number): number {
        const account = this.find(organisation);
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
        const account = this.find(organisation);
        if (account !== undefined) {
            account.startTag -= cost;
        }
    }

    /** Virtual time at which the next request of an organisation starts; the lowest goes first. */
    startTag(organisation: string): number {
        return this.find(organisation)?.startTag ?? this.virtualTime;
    }

    /** Virtual time at which a request of an organisation would start that none waits of. */
    nextTag(organisation: string): number {
        return Math.max(this.startTag(organisation), this.virtualTime);
    }

    /** Virtual time that one request of an organisation takes: the inverse of its weight. */
    cost(organisation: string, nowMs: number): number {
        const account = this.find(organisation);
        const recentShare = shareOf(account?.recent, this.totalRecent, nowMs);
        const usualShare = shareOf(account?.usual, this.totalUsual, nowMs);
        return 1 / (EQUAL_SHARE / Math.max(1, this.active.size) + RECENT_SHARE * recentShare + USUAL_SHARE * usualShare);
    }

    private createAccount(): Account {
        return {
            recent: MovingCount.create(RECENT_TIME_CONSTANT_MS),
            usual: MovingCount.create(USUAL_TIME_CONSTANT_MS),
            startTag: this.virtualTime,
            isOwed: false,
        };
    }

    private find(organisation: string): Account | undefined {
        return this.accounts.get(this.accountName(organisation));
    }

    private accountName(organisation: string): string {
        return this.accounts.size < MAX_ACCOUNTS || this.accounts.has(organisation) ? organisation : SHARED_ACCOUNT;
    }

    private sweep(nowMs: number): void {
        if (nowMs - this.sweptAtMs < SWEEP_INTERVAL_MS) {
            return;
        }
        this.sweptAtMs = nowMs;
        this.accounts.forEach(({ recent, usual }, name) => {
            if (recent.at(nowMs) < MIN_DEMAND) {
                this.active.delete(name);
            }
            if (usual.at(nowMs) < MIN_DEMAND) {
                this.accounts.delete(name);
            }
        });
    }
}

function shareOf(count: MovingCount | undefined, total: MovingCount, nowMs: number): number {
    const totalCount = total.at(nowMs);
    return count === undefined || totalCount === 0 ? 0 : Math.min(1, count.at(nowMs) / totalCount);
}
