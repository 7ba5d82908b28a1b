import { createHash } from "node:crypto";
import { RequestContext } from "../../filters/RequestContext.js";

const FINGERPRINT_CHARACTERS = 22;

/**
 * Computes the fingerprint that identifies a request when its caller sends it again. It covers service, method, path and
 * body, but no header fields.
 *
 * @param context - The request, with its service resolved and its body buffered if it is replayable.
 * @returns Fingerprint of 22 characters in base64url.
 * @example
 * context.fingerprint = fingerprintRequest(context);
 */
export function fingerprintRequest(context: RequestContext): string {
    const { method = "", url = "" } = context.request;
    return createHash("sha256")
        .update(`${context.service?.name ?? ""} ${method} ${url}\n`)
        .update(Buffer.isBuffer(context.body) ? context.body : "")
        .digest("base64url")
        .slice(0, FINGERPRINT_CHARACTERS);
}
