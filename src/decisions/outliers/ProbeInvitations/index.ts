import { RequestKind } from "../../../model/RequestKind.js";
import { ProbeDemand } from "../ProbeDemand.js";

/** Number of entries that are invited first; each sends about one request a second to a service. */
const FIRST_ROUND_ENTRIES = 4;
/** Factor from one round to the next, so that a service with few requests invites all entries before its endpoints starve. */
const ROUND_FACTOR = 2;
/** Number of rounds without a request, from the first one on, after which a service counts as idle: 2 s at the usual pace. */
const MAX_FAST_ROUNDS = 10;
/** Of the rounds for an endpoint of an idle service, one in this number invites anyone. */
const IDLE_ROUND_INTERVAL = 5;
/** Time for which an entry that has sent a repeatable request is expected to send more, in ms. */
const REPEATABLE_MEMORY_MS = 10_000;

/**
 * Chooses the entries that a gate invites to send its endpoint a request. Few are invited first, as one request is enough,
 * and more in each round in which none has come. While only repeatable requests are accepted, entries that have sent such
 * requests are invited, if there are any. Entries in the failure domain of the gate come first, since both the invitation and
 * the request that follows would otherwise cross between failure domains; the rounds grow beyond them if they send nothing.
 *
 * Designed for fleets of any size: the endpoint's gate alone sees the requests of all entries, and load reports take longer
 * the larger the fleet is.
 */
export class ProbeInvitations<Entry> {
    /** Connected entries, the one that was invited longest ago first, with the time of their latest repeatable request. */
    private readonly entries = new Map<Entry, number>();
    /** Entries in another failure domain than the gate. */
    private readonly remote = new Set<Entry>();
    private invited: readonly Entry[] = [];
    private rounds = 0;

    private constructor() {}

    /** Creates a selection without any connected entries. */
    static create<Entry>(): ProbeInvitations<Entry> {
        return new ProbeInvitations<Entry>();
    }

    /** True while entries have an invitation. */
    get isOpen(): boolean {
        return this.invited.length > 0;
    }

    /**
     * Adds an entry that has connected.
     *
     * @param entry - The entry.
     * @param isLocal - False if it is in another failure domain than the gate.
     */
    addEntry(entry: Entry, isLocal = true): void {
        if (!isLocal) {
            this.remote.add(entry);
        }
        this.entries.set(entry, Number.NEGATIVE_INFINITY);
    }

    /** Removes an entry whose connection is closed. */
    removeEntry(entry: Entry): void {
        this.entries.delete(entry);
        this.remote.delete(entry);
    }

    /** Records a request of an entry. */
    recordRequest(entry: Entry, requestKind: RequestKind, nowMs: number): void {
        if (requestKind !== RequestKind.Once && this.entries.has(entry)) {
            this.entries.set(entry, nowMs);
        }
    }

    /**
     * Starts a round of invitations.
     *
     * @param demand - Requests that the endpoint accepts.
     * @param nowMs - Current time.
     * @returns The entries to invite.
     */
    startRound(demand: ProbeDemand, nowMs: number): readonly Entry[] {
        const connected = [...this.entries.keys()];
        const suitable = demand === ProbeDemand.Any ? [] : connected.filter((entry) => this.sendsRepeatable(entry, nowMs));
        const invitable = suitable.length > 0 ? suitable : connected;
        const nearestFirst = [...invitable.filter((entry) => !this.remote.has(entry)), ...invitable.filter((entry) => this.remote.has(entry))];
        this.invited = nearestFirst.slice(0, this.roundSize);
        this.invited.forEach((entry) => this.moveToEnd(entry));
        this.rounds += 1;
        return this.invited;
    }

    /**
     * Ends the rounds, because the endpoint has had a request.
     *
     * @returns The entries whose invitation is still open.
     */
    end(): readonly Entry[] {
        const { invited } = this;
        this.invited = [];
        this.rounds = 0;
        return invited;
    }

    /** Number of entries that the next round may invite; few from time to time if the whole service seems to be idle. */
    private get roundSize(): number {
        if (this.rounds < MAX_FAST_ROUNDS) {
            return FIRST_ROUND_ENTRIES * ROUND_FACTOR ** this.rounds;
        }
        return this.rounds % IDLE_ROUND_INTERVAL === 0 ? FIRST_ROUND_ENTRIES : 0;
    }

    private sendsRepeatable(entry: Entry, nowMs: number): boolean {
        return nowMs - (this.entries.get(entry) ?? Number.NEGATIVE_INFINITY) < REPEATABLE_MEMORY_MS;
    }

    private moveToEnd(entry: Entry): void {
        const latestAtMs = this.entries.get(entry);
        if (latestAtMs !== undefined) {
            this.entries.delete(entry);
            this.entries.set(entry, latestAtMs);
        }
    }
}
