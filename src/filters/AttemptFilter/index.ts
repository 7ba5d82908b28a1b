import type { Readable } from "node:stream";
import { RequestPlan } from "../../decisions/requests/RequestPlan.js";
import { EntryTools } from "../../entry/EntryTools.js";
import { RequestRun } from "../../entry/RequestRun/index.js";
import { collectBody } from "../../http/collectBody/index.js";
import { HeaderName } from "../../http/HeaderName.js";
import { ServiceClass } from "../../model/ServiceClass.js";
import { RequestContext } from "../RequestContext.js";
import { RequestFilter } from "../RequestFilter.js";

const REPLAYABLE_BODY_BYTES = 256 * 1_024;
const MAX_ATTEMPTS = 4;
const QUERY_AFTER_MS = 1_000;
const QUERIES_PER_DEADLINE = 4;

/** Sends the request to endpoints until it has an answer: the end of the chain. */
export class AttemptFilter implements RequestFilter {
    private constructor(private readonly tools: EntryTools) {}

    /** Creates the filter. */
    static create(tools: EntryTools): AttemptFilter {
        return new AttemptFilter(tools);
    }

    async apply(context: RequestContext, _next: () => Promise<void>): Promise<void> {
        const { request } = context;
        const lengthBytes = Number(request.headers[HeaderName.ContentLength] ?? 0);
        const isChunked = request.headers[HeaderName.TransferEncoding] !== undefined;
        const isReplayable = !isChunked && lengthBytes <= REPLAYABLE_BODY_BYTES;
        const body = await readBody(context, isReplayable, lengthBytes);
        const plan = planOf(context, isReplayable);
        await RequestRun.create(context, plan, body, this.tools).run();
    }
}

async function readBody(context: RequestContext, isReplayable: boolean, lengthBytes: number): Promise<Buffer | Readable | undefined> {
    if (!isReplayable) {
        return context.request;
    }
    return lengthBytes === 0 ? undefined : collectBody(context.request, REPLAYABLE_BODY_BYTES);
}

function planOf(context: RequestContext, isReplayable: boolean): RequestPlan {
    const timeoutMs = context.deadlineAtMs - context.arrivedAtMs;
    return {
        requestId: context.requestId,
        idempotent: context.idempotent,
        claimed: false,
        hedgeAfterMs: context.serviceClass === ServiceClass.Lookup ? context.service?.hedgeAfterMs : undefined,
        queryAfterMs: Math.min(QUERY_AFTER_MS, timeoutMs / QUERIES_PER_DEADLINE),
        deadlineAtMs: context.deadlineAtMs,
        maxAttempts: isReplayable ? MAX_ATTEMPTS : 1,
    };
}
