import type { IncomingMessage } from "node:http";

/**
 * Counts the bytes of the header section of a request.
 *
 * @param request - Request whose header section has been read.
 * @returns Size of its target and header fields in bytes, with two for each separator.
 * @example
 * countHeaderBytes(request) > 16_384;
 */
export function countHeaderBytes({ rawHeaders, url = "" }: IncomingMessage): number {
    return rawHeaders.reduce((sum, text) => sum + text.length + 2, url.length);
}
