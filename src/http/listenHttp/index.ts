import { once } from "node:events";
import { createServer, type RequestListener, type Server } from "node:http";
import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { toError } from "../../model/toError/index.js";

const MAX_HEADER_BYTES = 32 * 1_024;
const HEADERS_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_TIMEOUT_MS = 20_000;

/**
 * Starts an HTTP server.
 *
 * @param host - Address to listen on.
 * @param port - Port to listen on.
 * @param name - Name of the setting for the port, used in error messages.
 * @param listener - Handles the requests.
 * @returns The listening server.
 * @throws FleetError if the server cannot listen on the address, for example because it is in use.
 * @example
 * const server = await listenHttp("127.0.0.1", 8080, "proxy.callerPort", listener);
 */
export async function listenHttp(host: string, port: number, name: string, listener: RequestListener): Promise<Server> {
    const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, noDelay: true, keepAlive: true }, listener);
    server.headersTimeout = HEADERS_TIMEOUT_MS;
    server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    server.requestTimeout = 0;
    // The size of the header section limits the fields; fields beyond a number of them would be dropped silently.
    server.maxHeadersCount = 0;
    server.listen(port, host);
    try {
        await once(server, "listening");
    }
    catch (thrown) {
        const cause = toError(thrown);
        throw FleetError.create({ step: Step.Listen, peer: `${name} ${port}`, cause }, cause.message);
    }
    return server;
}
