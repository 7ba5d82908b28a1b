import { QuotaControl } from "../QuotaControl.js";

/** Time in which proxies state their control VMs, in ms; several round trips between failure domains. */
const STATEMENT_TIMEOUT_MS = 150;
/** Interval of the searches, in ms. */
const SEARCH_INTERVAL_MS = 1_000;
/** Number of proxies that are queried in a search. If one in ten reaches a control VM, 9 of 10 searches find one. */
const MAX_QUERIED = 24;
/** Number of relays that a proxy names to others. */
const MAX_NAMED = 3;
/** Number of relays after which a search queries only those that are known. */
const ENOUGH_RELAYS = 2;
/** Time for which the statement of a proxy holds, in ms; longer than the interval of the searches. */
const STATEMENT_VALIDITY_MS = 3_000;

interface Statement {
    readonly controls: readonly QuotaControl[];
    readonly atMs: number;
}

/**
 * Finds proxies that pass asks for tokens on to control VMs.
 *
 * Designed for nine of ten proxies that are cut off from all control VMs, but not from the other proxies.
 */
export class RelaySearch {
    /** Latest statements of the proxies that reach a control VM, by proxy. */
    private readonly statements = new Map<string, Statement>();
    private startedAtMs = Number.NEGATIVE_INFINITY;
    /** Time until which the current search goes on, in ms. */
    private untilMs = Number.NEGATIVE_INFINITY;
    /** Proxies queried in the current search. */
    private queried = new Set<string>();

    private constructor(private readonly random: () => number) {}

    /**
     * Creates a search that knows of no proxy.
     *
     * @param random - Source of numbers from 0 up to, but not including, 1.
     */
    static create(random: () => number): RelaySearch {
        return new RelaySearch(random);
    }

    /** Number of proxies that are known to reach a control VM. */
    get relayCount(): number {
        return this.statements.size;
    }

    /** Proxies that reach a control VM, to be named to others that search. */
    get relays(): readonly string[] {
        return [...this.statements.keys()].slice(0, MAX_NAMED);
    }

    /** Returns whether a proxy may still be found without waiting for the next search. */
    mayFind(nowMs: number): boolean {
        return nowMs < this.endsAtMs || nowMs >= this.startedAtMs + SEARCH_INTERVAL_MS;
    }

    /** Time until which the current search goes on, in ms. */
    get endsAtMs(): number {
        return this.untilMs;
    }

    /**
     * Starts a search, unless the last one is recent.
     *
     * @param candidates - Proxies that can be queried.
     * @param nowMs - Current time.
     * @returns The proxies to query, at most 24.
     */
    start(candidates: readonly string[], nowMs: number): readonly string[] {
        if (nowMs < this.startedAtMs + SEARCH_INTERVAL_MS) {
            return [];
        }
        this.startedAtMs = nowMs;
        this.untilMs = nowMs + STATEMENT_TIMEOUT_MS;
        this.dropExpired(nowMs);
        const known = [...this.statements.keys()];
        const others = candidates.filter((vm) => !this.statements.has(vm));
        const chosen = known.length >= ENOUGH_RELAYS ? known : [...known, ...this.choose(others, MAX_QUERIED - known.length)];
        this.queried = new Set(chosen);
        return chosen;
    }

    /**
     * Records which control VMs a proxy reaches.
     *
     * @param relay - Proxy that states it.
     * @param controls - Control VMs that it has live links to; empty if there are none.
     * @param named - Other proxies that reach a control VM according to it.
     * @param nowMs - Current time.
     * @returns The named proxies to query, unless enough relays are known.
     */
    recordStatement(relay: string, controls: readonly QuotaControl[], named: readonly string[], nowMs: number): readonly string[] {
        if (controls.length === 0) {
            this.statements.delete(relay);
        }
        else if (this.statements.has(relay) || this.statements.size < MAX_QUERIED) {
            this.statements.set(relay, { controls, atMs: nowMs });
        }
        const isOver = nowMs >= this.startedAtMs + SEARCH_INTERVAL_MS;
        if (isOver || this.statements.size >= ENOUGH_RELAYS) {
            return [];
        }
        const further = named.slice(0, MAX_NAMED).filter((vm) => !this.queried.has(vm) && this.queried.size < 2 * MAX_QUERIED);
        further.forEach((vm) => this.queried.add(vm));
        this.untilMs = further.length === 0 ? this.untilMs : nowMs + STATEMENT_TIMEOUT_MS;
        return further;
    }

    /** Forgets a proxy, because it has not passed a reply on. */
    remove(relay: string): void {
        this.statements.delete(relay);
    }

    /** Returns the control VMs that can be reached through proxies. */
    controls(nowMs: number): readonly QuotaControl[] {
        this.dropExpired(nowMs);
        return [...this.statements].flatMap(([relay, { controls }]) => controls.map(({ vm, failureDomain }) => ({ vm, failureDomain, relay })));
    }

    private dropExpired(nowMs: number): void {
        [...this.statements].filter(([, { atMs }]) => nowMs >= atMs + STATEMENT_VALIDITY_MS).forEach(([relay]) => this.statements.delete(relay));
    }

    private choose(candidates: readonly string[], count: number): readonly string[] {
        const ranked = candidates.map((vm) => ({ vm, rank: this.random() })).sort((left, right) => left.rank - right.rank);
        return ranked.slice(0, count).map(({ vm }) => vm);
    }
}
