import type { IncomingMessage } from "node:http";
import type { H3Event } from "h3";
import { closeInOrder } from "../closeInOrder/index.js";
import { collectBody } from "../collectBody/index.js";
import { createHttpError } from "../createHttpError/index.js";

const STATUS_BAD_REQUEST = 400;
const STATUS_TOO_LARGE = 413;

/**
 * Reads the JSON body of a request to an h3 app that runs on Node.js.
 *
 * @param event - The request.
 * @param maxBytes - Maximum size of the body in bytes.
 * @returns The document, or undefined if the body is empty.
 * @throws HTTPError with status 413 if the body is larger; the connection is closed behind the answer. With status 400 if it is not JSON.
 * @example
 * const body = await readJson(event, 65_536);
 */
export async function readJson(event: H3Event, maxBytes: number): Promise<unknown> {
    const request = event.runtime?.node?.req as IncomingMessage;
    const body = await collectBody(request, maxBytes);
    if (body === undefined) {
        const { socket } = request;
        // The rest of the body may be endless, so the connection cannot be reused.
        event.runtime?.node?.res?.once("finish", () => closeInOrder(socket));
        throw createHttpError(STATUS_TOO_LARGE, `the body is larger than ${maxBytes} bytes`);
    }
    if (body.length === 0) {
        return undefined;
    }
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch {
        throw createHttpError(STATUS_BAD_REQUEST, "the body is not valid JSON");
    }
}
