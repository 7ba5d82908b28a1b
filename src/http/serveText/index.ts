import { createServer, type Server } from "node:http";
import { toError } from "../../model/toError/index.js";
import { StartWaits } from "../../starts/StartWaits/index.js";
import { listenWithRetry } from "../listenWithRetry/index.js";

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_INTERNAL_ERROR = 500;

/** Text document to serve; rendered anew for each request. */
interface ServedText {
    readonly path: string;
    readonly contentType: string;
    readonly render: () => Promise<string>;
}

/**
 * Serves one text document over HTTP.
 *
 * @param address - `host:port`.
 * @param text - Path, media type and renderer of the document.
 * @param onError - Called with each error of the renderer, and when a connection cannot be accepted.
 * @param waits - Waits for a port that is held; without it, that is an error.
 * @returns The listening server.
 * @throws FleetError if the server cannot listen on the address.
 * @example
 * await serveText("127.0.0.1:9464", { path: "/metrics", contentType: "text/plain", render }, report);
 */
export async function serveText(address: string, text: ServedText, onError: (error: Error) => void, waits?: StartWaits): Promise<Server> {
    const server = createServer((request, response) => {
        if (request.url !== text.path) {
            response.writeHead(STATUS_NOT_FOUND).end();
            return;
        }
        text.render().then((body) => {
            response.writeHead(STATUS_OK, { "content-type": text.contentType }).end(body);
        }).catch((thrown: unknown) => {
            onError(toError(thrown));
            response.writeHead(STATUS_INTERNAL_ERROR).end();
        });
    });
    const [host, port] = address.split(":");
    return listenWithRetry(address, () => server.listen(Number(port), host), onError, waits);
}
