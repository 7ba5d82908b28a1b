import { createHash } from "node:crypto";

/**
 * Computes the digest of a request, which distinguishes a retry from a different request with the same idempotency key.
 *
 * @param method - HTTP method.
 * @param path - Path with query string.
 * @param body - Body, if any.
 * @returns SHA-256 digest in base64.
 * @example
 * digestRequest("POST", "/orders", Buffer.from("{}"));
 */
export function digestRequest(method: string, path: string, body: Buffer | undefined): string {
    return createHash("sha256").update(`${method} ${path}\n`).update(body ?? Buffer.alloc(0)).digest("base64");
}
