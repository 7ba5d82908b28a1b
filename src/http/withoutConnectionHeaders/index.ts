import { HeaderList } from "../../model/HeaderList.js";
import { findHeaders } from "../findHeaders/index.js";

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
 * Removes hop-by-hop header fields and those that frame the body.
 *
 * @param headers - Header fields of a message.
 * @returns The header fields to forward.
 * @example
 * withoutConnectionHeaders([["Connection", "close"], ["Accept", "*"]]); // [["Accept", "*"]]
 */
export function withoutConnectionHeaders(headers: HeaderList): HeaderList {
    const connectionNames = new Set(findHeaders(headers, "connection").join(",").toLowerCase().split(",").map((name) => name.trim()));
    return headers.filter(([name]) => !HOP_BY_HOP.has(name.toLowerCase()) && !connectionNames.has(name.toLowerCase()));
}
