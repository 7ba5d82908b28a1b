import { assignTurns } from "../assignTurns/index.js";
import { compareUrgency } from "../compareUrgency/index.js";
import { OrganisationUse } from "../OrganisationUse/index.js";
import { OvertakingShares } from "../OvertakingShares/index.js";
import { RecentStarts } from "../RecentStarts/index.js";
import { ServingRequest } from "../ServingRequest.js";
import { WaitingTurn } from "../WaitingTurn.js";

/**
 * One of this many starts goes to a less urgent request. A quarter of the starts keeps the less urgent ones above a quarter of the
 * mean, however many more urgent requests there are.
 */
const STARTS_PER_TURN = 4;

/**
 * Order in which the waiting requests of organisations start at one endpoint: by urgency and, within equal urgency, by recent use. One
 * start of four goes to the organisation with the least use of a lower priority, or whatever the urgency of its requests if all that
 * wait have the same priority.
 *
 * Designed for demand of 1.5 times the capacity from tens of organisations of several priorities.
 */
export class OrganisationTurns {
    /** Use by the organisations of each priority. */
    private readonly uses = new Map<number, OrganisationUse>();
    /** Use of the turns by priorities. */
    private readonly turnUse = OrganisationUse.create();
    private readonly starts = RecentStarts.create();
    private startsSinceTurn = 0;

    private constructor() {}

    /** Creates the order at an endpoint that no organisation has used. */
    static create(): OrganisationTurns {
        return new OrganisationTurns();
    }

    /**
     * Records an offered request of an organisation.
     *
     * @param request - The request.
     * @param waiting - Requests that wait already.
     * @param nowMs - Current time.
     */
    recordArrival({ organisation, organisationPriority }: ServingRequest, waiting: readonly ServingRequest[], nowMs: number): void {
        const hasWaiting = waiting.some((other) => other.organisation === organisation);
        this.useOf(organisationPriority).recordArrival(organisation, hasWaiting, nowMs);
        const isPriorityWaiting = waiting.some((other) => other.organisation !== "" && other.organisationPriority === organisationPriority);
        this.turnUse.recordArrival(String(organisationPriority), isPriorityWaiting, nowMs);
    }

    /** Records that a request was refused or displaced. */
    recordRefusal({ organisation, organisationPriority }: ServingRequest): void {
        if (organisation === "") {
            return;
        }
        this.useOf(organisationPriority).recordRefusal(organisation);
        this.turnUse.recordRefusal(String(organisationPriority));
    }

    /** Records a start, and returns what reverts its use if the request is not sent to the endpoint after all. */
    recordStart(request: ServingRequest, nowMs: number): () => void {
        const { organisation, organisationPriority } = request;
        this.starts.record(request, nowMs);
        if (organisation === "") {
            return () => undefined;
        }
        this.startsSinceTurn = Math.min(this.startsSinceTurn + 1, STARTS_PER_TURN - 1);
        const use = this.useOf(organisationPriority);
        const cost = use.recordStart(organisation, nowMs);
        return () => use.withdrawStart(organisation, cost);
    }

    /**
     * Takes the next request to start.
     *
     * @param waiting - Waiting requests.
     * @param nowMs - Current time.
     * @param serviceMs - Mean service time.
     * @returns The request, or undefined if none of an organisation waits.
     */
    takeNext(waiting: readonly ServingRequest[], nowMs: number, serviceMs: number): ServingRequest | undefined {
        const turns = this.assignTurns(waiting, nowMs, serviceMs);
        const candidates = this.startsSinceTurn < STARTS_PER_TURN - 1 ? [] : this.lessUrgentTurns(turns);
        if (candidates.length === 0) {
            return turns[0]?.request;
        }
        this.startsSinceTurn = -1;
        const turn = candidates.reduce((best, candidate) => this.compareTurns(candidate, best) < 0 ? candidate : best);
        this.turnUse.recordStart(String(turn.request.organisationPriority), nowMs);
        return turn.request;
    }

    /**
     * Estimates for each waiting request of an organisation the number of starts before its own, by urgency or by a turn of the less
     * urgent, whichever comes first. Allows for requests that are still to come and will overtake it, by the recent starts.
     *
     * @param waiting - Waiting requests.
     * @param nowMs - Current time.
     * @param serviceMs - Mean service time.
     * @returns The numbers, those of the first requests to start by urgency first.
     */
    estimateStartsAhead(waiting: readonly ServingRequest[], nowMs: number, serviceMs: number): ReadonlyMap<ServingRequest, number> {
        const turns = this.assignTurns(waiting, nowMs, serviceMs);
        const calls = waiting.length - turns.length;
        const waitingOrganisations = new Set(waiting.map(({ organisation }) => organisation));
        const shares = OvertakingShares.create(this.starts.list(nowMs), ({ organisation, organisationPriority }) =>
            waitingOrganisations.has(organisation) ? undefined : this.useOf(organisationPriority).nextTag(organisation));
        const byTurn = this.estimateByTurn(turns, shares);
        const factor = byTurn.size > 0 ? STARTS_PER_TURN / (STARTS_PER_TURN - 1) : 1;
        return new Map(turns.map((turn, index) => {
            const byUrgency = (calls + index * factor + 1) / shares.remainingByUrgency(turn) - 1;
            return [turn.request, Math.min(byUrgency, calls + (byTurn.get(turn.request) ?? Number.POSITIVE_INFINITY))];
        }));
    }

    /** Estimates the starts before those requests that a turn may go to, by turns alone. */
    private estimateByTurn(turns: readonly WaitingTurn[], shares: OvertakingShares): ReadonlyMap<ServingRequest, number> {
        const lessUrgent = [...this.lessUrgentTurns(turns)].sort((left, right) => left.startTag - right.startTag);
        const priorityCount = new Set(lessUrgent.map(({ request }) => request.organisationPriority)).size;
        const untilTurn = STARTS_PER_TURN - 1 - this.startsSinceTurn;
        const ranks = new Map<number, number>();
        return new Map(lessUrgent.map((turn) => {
            const { organisationPriority } = turn.request;
            const rank = ranks.get(organisationPriority) ?? 0;
            ranks.set(organisationPriority, rank + 1);
            return [turn.request, untilTurn + STARTS_PER_TURN * priorityCount * rank / shares.remainingByUse(turn)];
        }));
    }

    private assignTurns(waiting: readonly ServingRequest[], nowMs: number, serviceMs: number): readonly WaitingTurn[] {
        return assignTurns(waiting, (priority) => this.useOf(priority), nowMs, serviceMs);
    }

    /** Those that a turn may go to: of a lower priority than the first, or all if they have the same priority and differ in that of the route. */
    private lessUrgentTurns(turns: readonly WaitingTurn[]): readonly WaitingTurn[] {
        const [first] = turns;
        const last = turns.at(-1);
        if (first === undefined || last === undefined || compareUrgency(first.request, last.request) === 0) {
            return [];
        }
        const lower = turns.filter(({ request }) => request.organisationPriority > first.request.organisationPriority);
        return lower.length > 0 ? lower : turns;
    }

    private compareTurns(left: WaitingTurn, right: WaitingTurn): number {
        const tagOf = ({ request }: WaitingTurn): number => this.turnUse.startTag(String(request.organisationPriority));
        return left.request.organisationPriority === right.request.organisationPriority
            ? left.startTag - right.startTag
            : tagOf(left) - tagOf(right);
    }

    private useOf(organisationPriority: number): OrganisationUse {
        const existing = this.uses.get(organisationPriority);
        if (existing !== undefined) {
            return existing;
        }
        const created = OrganisationUse.create();
        this.uses.set(organisationPriority, created);
        return created;
    }
}
