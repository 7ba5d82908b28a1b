import { EndpointStatement } from "../../../backend/EndpointStatement.js";
import { LatestLimit } from "../../limits/LatestLimit/index.js";
import { StatedLimitKind } from "../../limits/StatedLimitKind.js";
import { EndpointRun } from "../EndpointRun.js";

/** Maximum number of endpoints whose statements are kept. */
const MAX_ENDPOINTS = 2_048;

interface Notice {
    readonly limit: LatestLimit;
    readonly isLeaving: boolean;
}

/**
 * What endpoints have stated about themselves in the responses that one entry has handed on. The entry keeps to it whatever
 * becomes of their gates. Memory is bounded: the endpoint that has stated something least recently is forgotten first.
 */
export class EndpointNotices {
    private readonly notices = new Map<string, Notice>();

    private constructor() {}

    /** Creates a store without any statements. */
    static create(): EndpointNotices {
        return new EndpointNotices();
    }

    /** Number of endpoints whose statements are kept. */
    get size(): number {
        return this.notices.size;
    }

    /**
     * Records what an endpoint states in a response.
     *
     * @param endpoint - Run of the endpoint.
     * @param statement - What it states.
     * @param sentAtMs - Time at which the request was offered to its gate.
     */
    record(endpoint: EndpointRun, statement: EndpointStatement, sentAtMs: number): void {
        const key = keyOf(endpoint);
        const existing = this.notices.get(key);
        const isSilent = statement.limit.kind === StatedLimitKind.None && !statement.isLeaving;
        if (existing === undefined && isSilent) {
            return;
        }
        const notice = { limit: existing?.limit ?? LatestLimit.create(), isLeaving: statement.isLeaving || existing?.isLeaving === true };
        notice.limit.apply(statement.limit, sentAtMs);
        this.notices.delete(key);
        if (notice.isLeaving || notice.limit.perSecond !== undefined) {
            this.notices.set(key, notice);
            this.forgetOldest();
        }
    }

    /** Requests per second that an endpoint accepts, or undefined if it has named no limit. */
    limitOf(endpoint: EndpointRun): number | undefined {
        return this.notices.get(keyOf(endpoint))?.limit.perSecond;
    }

    /** True if an endpoint has stated that it leaves. */
    isLeaving(endpoint: EndpointRun): boolean {
        return this.notices.get(keyOf(endpoint))?.isLeaving === true;
    }

    private forgetOldest(): void {
        const oldest = this.notices.keys().next();
        if (this.notices.size > MAX_ENDPOINTS && oldest.done !== true) {
            this.notices.delete(oldest.value);
        }
    }
}

function keyOf({ id, bornAtMs }: EndpointRun): string {
    return `${bornAtMs} ${id}`;
}
