import type { IncomingMessage } from "node:http";

/**
 * Returns whether the header section of a request announces a body.
 *
 * @param request - Request whose header section has been read.
 * @returns False for a request that ends with its header section, or whose body is empty by its length.
 * @example
 * response.shouldKeepAlive &&= request.complete || !hasBody(request);
 */
export function hasBody({ headers }: IncomingMessage): boolean {
    return headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > 0;
}
