const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/**
 * Returns whether a response has no body, whatever its header fields say (RFC 9110, section 6.4.1).
 *
 * @param method - Method of the request.
 * @param status - Status code of the response.
 * @returns True if no body follows.
 * @example
 * isBodiless("HEAD", 200); // true
 */
export function isBodiless(method: string, status: number): boolean {
    return method === "HEAD" || status === NO_CONTENT || status === NOT_MODIFIED;
}
