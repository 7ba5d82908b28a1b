import { HeaderList } from "../../model/HeaderList.js";
import { findHeader } from "../findHeader/index.js";

const HOP_BY_HOP = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
]);

/**
 * Drops the header fields that concern one connection only, and those that frame the body.
 *
 * @param headers - Header fields of a message.
 * @returns The fields that go on to the other end.
 * @example
 * withoutConnectionHeaders([["Connection", "close"], ["Accept", "*"]]); // [["Accept", "*"]]
 */
export function withoutConnectionHeaders(headers: HeaderList): HeaderList {
    const named = (findHeader(headers, "connection") ?? "").toLowerCase().split(",").map((name) => name.trim());
    return headers.filter(([name]) => !HOP_BY_HOP.has(name.toLowerCase()) && !named.includes(name.toLowerCase()));
}
