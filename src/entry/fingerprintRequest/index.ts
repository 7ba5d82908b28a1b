import { createHash } from "node:crypto";
import { RequestContext } from "../../filters/RequestContext.js";

const FINGERPRINT_CHARACTERS = 22;

/**
 * Computes the fingerprint under which a request is recognised when its caller sends it again: service, method, path
 * and body, whatever its header says.
 *
 * @param context - The request, with its service found and its body read if it can be sent again.
 * @returns Fingerprint of 22 characters.
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
