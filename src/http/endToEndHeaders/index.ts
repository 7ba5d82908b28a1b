import { HeaderFields } from "../HeaderFields.js";
import { HeaderName } from "../HeaderName.js";

const HOP_BY_HOP: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
]);

/**
 * Returns the end-to-end header fields of a message. Drops hop-by-hop fields (RFC 9110, section 7.6.1), fields listed in
 * `Connection`, and fields with the prefix of this system.
 *
 * @param headers - Header fields by lower-case name.
 * @returns The header fields to forward.
 * @example
 * endToEndHeaders({ connection: "x-a", "x-a": "1", accept: "*" }); // { accept: "*" }
 */
export function endToEndHeaders(headers: HeaderFields): Record<string, string | string[]> {
    const connectionNames = new Set(String(headers["connection"] ?? "").toLowerCase().split(",").map((name) => name.trim()));
    const kept: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        const isKept = value !== undefined && !HOP_BY_HOP.has(name) && !connectionNames.has(name) && !name.startsWith(HeaderName.Prefix);
        if (isKept) {
            kept[name] = value;
        }
    }
    return kept;
}
