import { RequestContext } from "../RequestContext.js";
import { RequestFilter } from "../RequestFilter.js";

/**
 * Runs a request through a filter chain.
 *
 * @param filters - Filters, in order.
 * @param context - The request.
 * @returns Resolves when the request has been answered or its caller has disconnected.
 * @example
 * await runFilters([route, rateLimit, attempt], context);
 */
export function runFilters(filters: readonly RequestFilter[], context: RequestContext): Promise<void> {
    const [first, ...rest] = filters;
    return first === undefined ? Promise.resolve() : first.apply(context, () => runFilters(rest, context));
}
