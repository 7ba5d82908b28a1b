import { HeaderList } from "../../model/HeaderList.js";
import { quoteExcerpt } from "../../model/quoteExcerpt/index.js";
import { findHeaders } from "../findHeaders/index.js";

/** Digits only; at most 15, so that the number is exact. */
const LENGTH = /^0*\d{1,15}$/;
const CHUNKED = "chunked";

/**
 * Finds what is wrong with the header fields that frame the body of a message (RFC 9112, section 6). A message with such a
 * problem has no reliable end: whoever guesses one takes a part of the body for the whole, or other bytes for the body.
 *
 * @param headers - Header fields of the message.
 * @param supportsChunks - False if the version of the protocol, HTTP/1.0, has no transfer codings.
 * @returns The problem, or undefined if there is none.
 * @example
 * findFramingProblem([["Content-Length", "16"]], true); // undefined
 * findFramingProblem([["Content-Length", "1x"]], true); // "unreadable Content-Length \"1x\""
 */
export function findFramingProblem(headers: HeaderList, supportsChunks: boolean): string | undefined {
    const lengths = findHeaders(headers, "content-length");
    const codings = findHeaders(headers, "transfer-encoding");
    const unreadable = lengths.find((length) => !LENGTH.test(length));
    if (unreadable !== undefined) {
        return `unreadable Content-Length ${quoteExcerpt(unreadable)}`;
    }
    const [length, otherLength] = new Set(lengths.map(Number));
    if (otherLength !== undefined) {
        return `differing Content-Length fields ${length} and ${otherLength}`;
    }
    if (codings.length === 0) {
        return undefined;
    }
    if (codings.length > 1 || codings[0]?.toLowerCase() !== CHUNKED) {
        return `unsupported Transfer-Encoding ${quoteExcerpt(codings.join(", "))}`;
    }
    if (!supportsChunks) {
        return "Transfer-Encoding in a message of HTTP/1.0";
    }
    return lengths.length > 0 ? "both Content-Length and Transfer-Encoding" : undefined;
}
