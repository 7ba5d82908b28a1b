import { ClaimParameters } from "../../decisions/claims/ClaimParameters.js";
import { selectWitnesses } from "../../decisions/claims/selectWitnesses/index.js";
import { ConfigurationView } from "../../decisions/configuration/ConfigurationView/index.js";
import { RequestPlan } from "../../decisions/requests/RequestPlan.js";
import { concludeRequest } from "../../entry/concludeRequest/index.js";
import { digestRequest } from "../../entry/digestRequest/index.js";
import { EntryTools } from "../../entry/EntryTools.js";
import { RequestRun } from "../../entry/RequestRun/index.js";
import { headerValue } from "../../http/headerValue/index.js";
import { HeaderName } from "../../http/HeaderName.js";
import { IdempotencyKeyPolicy } from "../../model/IdempotencyKeyPolicy.js";
import { Outcome } from "../../model/Outcome.js";
import { RefusalReason } from "../../model/RefusalReason.js";
import { ServiceClass } from "../../model/ServiceClass.js";
import { RequestContext } from "../RequestContext.js";
import { RequestFilter } from "../RequestFilter.js";

const MAX_KEY_CHARACTERS = 255;
const MAX_ATTEMPTS = 4;
const QUERY_AFTER_MS = 1_000;
const QUERIES_PER_DEADLINE = 4;

/** Sends the request to endpoints until it has an answer, under its idempotency key if it has one: the end of the chain. */
export class AttemptFilter implements RequestFilter {
    private constructor(private readonly tools: EntryTools, private readonly view: () => ConfigurationView) {}

    /** Creates the filter over the configuration in force. */
    static create(tools: EntryTools, view: () => ConfigurationView): AttemptFilter {
        return new AttemptFilter(tools, view);
    }

    async apply(context: RequestContext, _next: () => Promise<void>): Promise<void> {
        const key = idempotencyKey(context);
        const refusal = findRefusal(context, key);
        if (refusal !== undefined) {
            concludeRequest(context, Outcome.NotRun, refusal, 0);
            return;
        }
        const claimPlan = key === undefined ? undefined : planClaim(context, this.view(), key);
        if (key !== undefined && claimPlan === undefined) {
            concludeRequest(context, Outcome.NotRun, RefusalReason.NoWitnessMajority, 0);
            return;
        }
        const plan = planRequest(context, claimPlan !== undefined);
        await RequestRun.create(context, plan, this.tools, claimPlan).run();
    }
}

function idempotencyKey(context: RequestContext): string | undefined {
    const isUsed = !context.idempotent && context.service?.idempotencyKey !== IdempotencyKeyPolicy.Ignored;
    return isUsed ? headerValue(context.request.headers, HeaderName.IdempotencyKey) : undefined;
}

function findRefusal(context: RequestContext, key: string | undefined): RefusalReason | undefined {
    const isRequired = !context.idempotent && context.service?.idempotencyKey === IdempotencyKeyPolicy.Required;
    if (isRequired && key === undefined) {
        return RefusalReason.KeyRequired;
    }
    const isBad = key !== undefined && (key === "" || key.length > MAX_KEY_CHARACTERS || !context.isReplayable);
    return isBad ? RefusalReason.BadRequest : undefined;
}

function planRequest(context: RequestContext, claimed: boolean): RequestPlan {
    const timeoutMs = context.deadlineAtMs - context.arrivedAtMs;
    return {
        requestId: context.requestId,
        idempotent: context.idempotent,
        claimed,
        hedgeAfterMs: context.serviceClass === ServiceClass.Lookup ? context.service?.hedgeAfterMs : undefined,
        queryAfterMs: Math.min(QUERY_AFTER_MS, timeoutMs / QUERIES_PER_DEADLINE),
        deadlineAtMs: context.deadlineAtMs,
        maxAttempts: context.isReplayable ? MAX_ATTEMPTS : 1,
    };
}

function planClaim(context: RequestContext, view: ConfigurationView, key: string): ClaimParameters | undefined {
    const { roster, fleet } = view;
    if (roster === undefined || fleet === undefined) {
        return undefined;
    }
    const scopedKey = `${context.service?.name ?? ""}/${encodeURIComponent(context.customer)}/${key}`;
    return {
        key: scopedKey,
        digest: digestRequest(context.request.method ?? "", context.request.url ?? "", Buffer.isBuffer(context.body) ? context.body : undefined),
        claimant: context.requestId,
        epoch: roster.epoch,
        witnessSets: [roster.witnesses, roster.previous]
            .filter((pool) => pool.length > 0)
            .map((pool) => selectWitnesses(scopedKey, pool, fleet.witnessCount)),
        deadlineAtMs: context.deadlineAtMs,
    };
}
