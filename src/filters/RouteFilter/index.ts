import { ConfigurationView } from "../../decisions/configuration/ConfigurationView/index.js";
import { sendLocalReply } from "../../entry/sendLocalReply/index.js";
import { headerValue } from "../../http/headerValue/index.js";
import { HeaderName } from "../../http/HeaderName.js";
import { Outcome } from "../../model/Outcome.js";
import { RefusalReason } from "../../model/RefusalReason.js";
import { RequestContext } from "../RequestContext.js";
import { RequestFilter } from "../RequestFilter.js";

const MAX_CUSTOMER_CHARACTERS = 128;
const ANONYMOUS_CUSTOMER = "anonymous";

/** Resolves the route, service and customer of a request. Refuses requests while the process is not ready. */
export class RouteFilter implements RequestFilter {
    private constructor(private readonly view: () => ConfigurationView, private readonly isReady: () => boolean) {}

    /**
     * Creates the filter.
     *
     * @param view - Returns the configuration in force.
     * @param isReady - Tells whether the process can serve requests with this configuration.
     */
    static create(view: () => ConfigurationView, isReady: () => boolean): RouteFilter {
        return new RouteFilter(view, isReady);
    }

    async apply(context: RequestContext, next: () => Promise<void>): Promise<void> {
        const { request } = context;
        const view = this.view();
        if (view.fleet === undefined || !this.isReady()) {
            sendLocalReply(context, Outcome.NotRun, RefusalReason.NotReady, 0);
            return;
        }
        const host = (headerValue(request.headers, HeaderName.Host) ?? "").replace(/:\d+$/, "");
        const route = view.route(host, request.url ?? "/");
        const service = route === undefined ? undefined : view.service(route.service);
        if (route === undefined || service === undefined) {
            sendLocalReply(context, Outcome.NotRun, RefusalReason.NoRoute, 0);
            return;
        }
        context.route = route;
        context.service = service;
        context.serviceClass = route.class ?? service.class;
        context.isIdempotent = route.idempotentMethods.includes(request.method ?? "");
        context.customer = (headerValue(request.headers, view.fleet.customerHeader) ?? ANONYMOUS_CUSTOMER).slice(0, MAX_CUSTOMER_CHARACTERS);
        await next();
    }
}
