import type { IncomingMessage } from "node:http";

/**
 * Returns whether the sender of a request waits for an interim response before it sends the body.
 *
 * @param request - Request whose header section has been read; it has no other expectation.
 * @returns False for HTTP/1.0, which has no interim responses.
 * @example
 * if (awaitsContinue(request)) { response.writeContinue(); }
 */
export function awaitsContinue({ headers, httpVersionMinor }: IncomingMessage): boolean {
    return headers.expect !== undefined && httpVersionMinor > 0;
}
