import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { nowMs } from "../../clock/nowMs/index.js";
import { RequestContext } from "../../filters/RequestContext.js";
import { RequestFilter } from "../../filters/RequestFilter.js";
import { runFilters } from "../../filters/runFilters/index.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { ServiceClass } from "../../model/ServiceClass.js";
import { toError } from "../../model/toError/index.js";

/** Runs the requests of callers through the filter chain and tracks those in flight. */
export class EntryController {
    private inFlightCount = 0;
    private isDraining = false;

    private constructor(private readonly filters: readonly RequestFilter[], private readonly events: EventLog) {}

    /** Creates an entry with its filter chain. */
    static create(filters: readonly RequestFilter[], events: EventLog): EntryController {
        return new EntryController(filters, events);
    }

    /** Number of requests in flight. */
    get inFlight(): number {
        return this.inFlightCount;
    }

    /** Begins a drain: from now on, answers ask callers to close their connections. */
    startDrain(): void {
        this.isDraining = true;
    }

    /** Handles one request; resolves when it has been answered or aborted. */
    async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const context = createContext(request, response);
        this.inFlightCount += 1;
        if (this.isDraining) {
            response.setHeader("connection", "close");
        }
        try {
            await runFilters(this.filters, context);
        }
        catch (thrown) {
            const { message } = toError(thrown);
            this.events.record(EventNumber.AnswerAborted, { requestId: context.requestId, error: message });
            response.destroy();
        }
        finally {
            this.inFlightCount -= 1;
        }
    }
}

function createContext(request: IncomingMessage, response: ServerResponse): RequestContext {
    return {
        request,
        response,
        requestId: randomUUID(),
        arrivedAtMs: nowMs(),
        customer: "",
        route: undefined,
        service: undefined,
        serviceClass: ServiceClass.Internal,
        isIdempotent: false,
        deadlineAtMs: 0,
        body: undefined,
        isReplayable: true,
        fingerprint: "",
        outcome: undefined,
        reason: undefined,
    };
}
