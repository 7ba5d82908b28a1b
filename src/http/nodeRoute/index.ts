import type { IncomingMessage, ServerResponse } from "node:http";
import { type EventHandler, fromNodeHandler } from "h3";

/**
 * Wraps a handler of Node.js requests as a route of h3, so that bodies can be streamed with backpressure.
 *
 * @param handler - Handles a request; resolves once the response has ended.
 * @returns The route.
 * @example
 * app.all("/**", nodeRoute((request, response) => entry.handle(request, response)));
 */
export function nodeRoute(handler: (request: IncomingMessage, response: ServerResponse) => Promise<void>): EventHandler {
    return fromNodeHandler((request, response) => handler(request as IncomingMessage, response as ServerResponse));
}
