import { compareUrgency } from "../compareUrgency/index.js";
import { ServingRequest } from "../ServingRequest.js";
import { StartCount } from "../StartCount.js";
import { WaitingTurn } from "../WaitingTurn.js";

/** Lowest share that is expected to remain, so that estimates stay finite. */
const MIN_REMAINING_SHARE = 0.05;
/** Number of recent starts below which nothing is concluded from them. */
const MIN_STARTS = 3;

/** Starts of an organisation of which none waits, with the start tag that its next request would get. */
interface TaggedCount {
    readonly startTag: number;
    readonly count: number;
}

/** Starts of one urgency. */
interface UrgencyGroup {
    readonly kind: Pick<ServingRequest, "organisation" | "organisationPriority" | "priority">;
    total: number;
    readonly tagged: TaggedCount[];
}

/** Starts of the organisations of one priority. */
interface PriorityGroup {
    total: number;
    readonly tagged: TaggedCount[];
    /** Starts of those organisations of which some wait. */
    readonly byOrganisation: Map<string, StartCount[]>;
}

/**
 * Estimates from the recent starts which share of the starts remains for a waiting request while others, that are still to come, overtake
 * it. Grouped once for all waiting requests, because an estimate is made for each of them with each arrival.
 */
export class OvertakingShares {
    private readonly urgencies = new Map<string, UrgencyGroup>();
    private readonly priorities = new Map<number, PriorityGroup>();
    private total = 0;

    private constructor() {}

    /**
     * Groups the recent starts.
     *
     * @param starts - Recent starts by kind.
     * @param nextTag - Returns the start tag that the next request of an organisation would get, or undefined if some of it wait.
     */
    static create(starts: readonly StartCount[], nextTag: (start: StartCount) => number | undefined): OvertakingShares {
        const shares = new OvertakingShares();
        starts.forEach((start) => {
            shares.add(start, nextTag(start));
        });
        return shares;
    }

    /** Returns the share that remains if starts are given by urgency and then by use. */
    remainingByUrgency({ request, startTag }: WaitingTurn): number {
        let overtaking = 0;
        this.urgencies.forEach(({ kind, total, tagged }) => {
            const urgency = compareUrgency(kind, request);
            if (urgency === 0) {
                overtaking += sumBefore(tagged, startTag);
            }
            else if (urgency < 0) {
                overtaking += total;
            }
        });
        return remaining(this.total, overtaking);
    }

    /** Returns the share of the starts of its priority that remains if they are given by use, and within one organisation by urgency. */
    remainingByUse({ request, startTag }: WaitingTurn): number {
        const group = this.priorities.get(request.organisationPriority);
        if (group === undefined) {
            return 1;
        }
        const own = group.byOrganisation.get(request.organisation) ?? [];
        const moreUrgent = own.reduce((sum, { priority, count }) => sum + (priority < request.priority ? count : 0), 0);
        return remaining(group.total, moreUrgent + sumBefore(group.tagged, startTag));
    }

    private add(start: StartCount, startTag: number | undefined): void {
        const { organisation, organisationPriority, priority, count } = start;
        this.total += count;
        const key = organisation === "" ? `/${priority}` : `${organisationPriority}/${priority}`;
        const urgency: UrgencyGroup = this.urgencies.get(key) ?? { kind: start, total: 0, tagged: [] };
        this.urgencies.set(key, urgency);
        urgency.total += count;
        if (organisation === "") {
            return;
        }
        const group: PriorityGroup = this.priorities.get(organisationPriority) ?? { total: 0, tagged: [], byOrganisation: new Map() };
        this.priorities.set(organisationPriority, group);
        group.total += count;
        if (startTag === undefined) {
            group.byOrganisation.set(organisation, [...group.byOrganisation.get(organisation) ?? [], start]);
        }
        else {
            const tagged = { startTag, count };
            urgency.tagged.push(tagged);
            group.tagged.push(tagged);
        }
    }
}

function sumBefore(tagged: readonly TaggedCount[], startTag: number): number {
    let sum = 0;
    for (const one of tagged) {
        sum += one.startTag < startTag ? one.count : 0;
    }
    return sum;
}

function remaining(total: number, overtaking: number): number {
    return total < MIN_STARTS ? 1 : Math.max(MIN_REMAINING_SHARE, 1 - overtaking / total);
}
