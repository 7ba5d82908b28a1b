import { HeaderList } from "../../model/HeaderList.js";

/** Memory that a header field takes besides its characters, in bytes: two strings, their pair, and its copies along the way. */
const FIELD_OVERHEAD_BYTES = 256;

/**
 * Estimates the memory that header fields take while their message is held. A short field takes many times its length.
 *
 * @param headers - The header fields.
 * @returns The memory in bytes.
 * @example
 * estimateHeaderBytes([["a", "b"]]); // 258
 */
export function estimateHeaderBytes(headers: HeaderList): number {
    return headers.reduce((sum, [name, value]) => sum + name.length + value.length + FIELD_OVERHEAD_BYTES, 0);
}
