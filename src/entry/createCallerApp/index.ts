import type { RequestListener } from "node:http";
import { H3 } from "h3";
import { toNodeHandler } from "h3/node";
import { nodeRoute } from "../../http/nodeRoute/index.js";
import { EntryController } from "../EntryController/index.js";

/**
 * Creates the HTTP interface for callers; every path is routed to a service.
 *
 * @param entry - Entry that handles the requests.
 * @returns Request listener for an HTTP server.
 * @example
 * await listenHttp(host, port, "proxy.callerPort", createCallerApp(entry));
 */
export function createCallerApp(entry: EntryController): RequestListener {
    const app = new H3();
    app.all("/**", nodeRoute((request, response) => entry.handle(request, response)));
    return toNodeHandler(app);
}
