import { ConfigurationView } from "../../decisions/configuration/ConfigurationView/index.js";
import { concludeRequest } from "../../entry/concludeRequest/index.js";
import { headerValue } from "../../http/headerValue/index.js";
import { HeaderName } from "../../http/HeaderName.js";
import { Outcome } from "../../model/Outcome.js";
import { RefusalReason } from "../../model/RefusalReason.js";
import { RequestContext } from "../RequestContext.js";
import { RequestFilter } from "../RequestFilter.js";

const MAX_CUSTOMER_CHARACTERS = 128;
const ANONYMOUS = "anonymous";

/** Finds the route, service and customer of a request. */
export class IdentifyFilter implements RequestFilter {
    private constructor(private readonly view: () => ConfigurationView, private readonly isReady: () => boolean) {}

    /**
     * Creates the filter.
     *
     * @param view - Configuration in force.
     * @param isReady - Whether the process may serve by it.
     */
    static create(view: () => ConfigurationView, isReady: () => boolean): IdentifyFilter {
        return new IdentifyFilter(view, isReady);
    }

    async apply(context: RequestContext, next: () => Promise<void>): Promise<void> {
        const { request } = context;
        const view = this.view();
        if (view.fleet === undefined || !this.isReady()) {
            concludeRequest(context, Outcome.NotRun, RefusalReason.NotReady, 0);
            return;
        }
        const host = (headerValue(request.headers, HeaderName.Host) ?? "").replace(/:\d+$/, "");
        const route = view.route(host, request.url ?? "/");
        const service = route === undefined ? undefined : view.service(route.service);
        if (route === undefined || service === undefined) {
            concludeRequest(context, Outcome.NotRun, RefusalReason.NoRoute, 0);
            return;
        }
        context.route = route;
        context.service = service;
        context.serviceClass = route.class ?? service.class;
        context.idempotent = route.idempotentMethods.includes(request.method ?? "");
        context.customer = (headerValue(request.headers, view.fleet.customerHeader) ?? ANONYMOUS).slice(0, MAX_CUSTOMER_CHARACTERS);
        await next();
    }
}
