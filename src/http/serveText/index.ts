import { createServer, type Server } from "node:http";
import { toError } from "../../model/toError/index.js";
import { StartWaits } from "../../starts/StartWaits/index.js";
import { hasBody } from "../hasBody/index.js";
import { listenWithRetry } from "../listenWithRetry/index.js";
import { RefusalListener } from "../../logs/RefusalListener.js";
import { ServerGuard } from "../ServerGuard/index.js";
import { ServerLimits } from "../ServerLimits.js";

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_INTERNAL_ERROR = 500;
/** Maximum size of a header section, in bytes. */
const MAX_HEADER_BYTES = 16_384;
/** Interval at which timeouts of requests are checked, in ms. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;
/** Limits on readers, of which there are a few; they send no bodies. */
const LIMITS: ServerLimits = {
    maxConnections: 32,
    maxRequests: 8,
    maxPipelinedRequests: 4,
    maxUnreadBytes: 4 * 1_024 * 1_024,
    headersTimeoutMs: 5_000,
    requestTimeoutMs: 10_000,
    keepAliveTimeoutMs: 15_000,
};

/** Text document to serve; rendered anew for each request. */
interface ServedText {
    readonly path: string;
    readonly contentType: string;
    readonly render: () => Promise<string>;
}

/**
 * Serves text documents over HTTP. Bodies of requests are not read.
 *
 * @param address - `host:port`.
 * @param texts - Path, media type and renderer of each document.
 * @param onError - Called with each error of the renderer, and when a connection cannot be accepted.
 * @param onRefusal - Called when a limit on what the readers hold refuses more.
 * @param waits - Waits for a port that is held; without it, that is an error.
 * @returns The listening server.
 * @throws FleetError if the server cannot listen on the address.
 * @example
 * await serveText("127.0.0.1:9464", [{ path: "/metrics", contentType: "text/plain", render }], report);
 */
export async function serveText(
    address: string,
    texts: readonly ServedText[],
    onError: (error: Error) => void,
    onRefusal: RefusalListener = () => undefined,
    waits?: StartWaits,
): Promise<Server> {
    const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS });
    ServerGuard.create(server, LIMITS, (request, response) => {
        // The rest of an unread body may be endless, so the connection cannot be reused.
        response.shouldKeepAlive &&= request.complete || !hasBody(request);
        const text = texts.find(({ path }) => path === request.url);
        if (text === undefined) {
            response.writeHead(STATUS_NOT_FOUND).end();
            return;
        }
        text.render().then((body) => {
            response.writeHead(STATUS_OK, { "content-type": text.contentType }).end(body);
        }).catch((thrown: unknown) => {
            onError(toError(thrown));
            response.writeHead(STATUS_INTERNAL_ERROR).end();
        });
    }, (holder, ...rest) => onRefusal(`metrics ${holder}`, ...rest));
    const [host, port] = address.split(":");
    return listenWithRetry(address, () => server.listen(Number(port), host), onError, waits);
}
