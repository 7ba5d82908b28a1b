import type { IncomingMessage, ServerResponse } from "node:http";
import { type EventHandler, fromNodeHandler } from "h3";

/**
 * Turns a handler of Node.js requests into a route of h3, for bodies that are streamed with back-pressure.
 *
 * @param handler - Handles a request; resolves once the response has ended.
 * @returns The route.
 * @example
 * app.all("/**", nodeRoute((request, response) => entry.handle(request, response)));
 */
export function nodeRoute(handler: (request: IncomingMessage, response: ServerResponse) => Promise<void>): EventHandler {
    return fromNodeHandler((request, response) => handler(request as IncomingMessage, response as ServerResponse));
}
