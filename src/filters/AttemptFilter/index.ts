import { ClaimParameters } from "../../decisions/claims/ClaimParameters.js";
import { selectWitnesses } from "../../decisions/claims/selectWitnesses/index.js";
import { ConfigurationView } from "../../decisions/configuration/ConfigurationView/index.js";
import { RequestPlan } from "../../decisions/requests/RequestPlan.js";
import { sendLocalReply } from "../../entry/sendLocalReply/index.js";
import { digestRequest } from "../../entry/digestRequest/index.js";
import { EntryDependencies } from "../../entry/EntryDependencies.js";
import { RequestExecutor } from "../../entry/RequestExecutor/index.js";
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
/** Longest time without an answer after which a gate is queried about an attempt, in ms. */
const QUERY_AFTER_MS = 1_000;
/** Minimum number of queries that fit into the timeout of a request. */
const QUERIES_PER_TIMEOUT = 4;

/** Last filter of the chain: claims the idempotency key of the request, if any, and sends attempts until it is answered. */
export class AttemptFilter implements RequestFilter {
    private constructor(private readonly dependencies: EntryDependencies, private readonly view: () => ConfigurationView) {}

    /** Creates the filter for the configuration in force. */
    static create(dependencies: EntryDependencies, view: () => ConfigurationView): AttemptFilter {
        return new AttemptFilter(dependencies, view);
    }

    async apply(context: RequestContext, _next: () => Promise<void>): Promise<void> {
        const key = idempotencyKey(context);
        const refusal = findRefusalReason(context, key);
        if (refusal !== undefined) {
            sendLocalReply(context, Outcome.NotRun, refusal, 0);
            return;
        }
        const claimParameters = key === undefined ? undefined : createClaimParameters(context, this.view(), key);
        if (key !== undefined && claimParameters === undefined) {
            sendLocalReply(context, Outcome.NotRun, RefusalReason.NoWitnessMajority, 0);
            return;
        }
        const plan = createRequestPlan(context, claimParameters !== undefined);
        await RequestExecutor.create(context, plan, this.dependencies, claimParameters).run();
    }
}

function idempotencyKey(context: RequestContext): string | undefined {
    const isKeyUsed = !context.isIdempotent && context.service?.idempotencyKey !== IdempotencyKeyPolicy.Ignored;
    return isKeyUsed ? headerValue(context.request.headers, HeaderName.IdempotencyKey) : undefined;
}

function findRefusalReason(context: RequestContext, key: string | undefined): RefusalReason | undefined {
    const isRequired = !context.isIdempotent && context.service?.idempotencyKey === IdempotencyKeyPolicy.Required;
    if (isRequired && key === undefined) {
        return RefusalReason.KeyRequired;
    }
    const isInvalid = key !== undefined && (key === "" || key.length > MAX_KEY_CHARACTERS || !context.isReplayable);
    return isInvalid ? RefusalReason.BadRequest : undefined;
}

function createRequestPlan(context: RequestContext, isClaimRequired: boolean): RequestPlan {
    const timeoutMs = context.deadlineAtMs - context.arrivedAtMs;
    return {
        requestId: context.requestId,
        isIdempotent: context.isIdempotent,
        isClaimRequired,
        hedgeAfterMs: context.serviceClass === ServiceClass.Lookup ? context.service?.hedgeAfterMs : undefined,
        queryAfterMs: Math.min(QUERY_AFTER_MS, timeoutMs / QUERIES_PER_TIMEOUT),
        deadlineAtMs: context.deadlineAtMs,
        maxAttempts: context.isReplayable ? MAX_ATTEMPTS : 1,
    };
}

function createClaimParameters(context: RequestContext, view: ConfigurationView, key: string): ClaimParameters | undefined {
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
