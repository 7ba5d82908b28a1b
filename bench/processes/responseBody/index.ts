import { createHash } from "node:crypto";

const BLOCK_BYTES = 64;

/**
 * Creates the body with which an endpoint answers a request: it differs for each request, so that a caller can tell whose it is.
 *
 * @param attemptId - Id of the request.
 * @param bytes - Length of the body.
 * @returns The body.
 * @example
 * responseBody("a-1", 100).length; // 100
 */
export function responseBody(attemptId: string, bytes: number): Buffer {
    const block = createHash("sha256").update(attemptId).digest("hex").slice(0, BLOCK_BYTES);
    return Buffer.alloc(bytes, block);
}
