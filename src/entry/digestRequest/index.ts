import { createHash } from "node:crypto";

/**
 * Digests a request, to tell a resend from another request under the same idempotency key.
 *
 * @param method - Method.
 * @param path - Path with query.
 * @param body - Body, if any.
 * @returns SHA-256 in base64.
 * @example
 * digestRequest("POST", "/orders", Buffer.from("{}"));
 */
export function digestRequest(method: string, path: string, body: Buffer | undefined): string {
    return createHash("sha256").update(`${method} ${path}\n`).update(body ?? Buffer.alloc(0)).digest("base64");
}
