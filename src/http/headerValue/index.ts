import { HeaderFields } from "../HeaderFields.js";

/**
 * Reads a header field that has one value.
 *
 * @param headers - Header fields by lower-case name.
 * @param name - Lower-case name.
 * @returns The value, the first one if there are several, or undefined.
 * @example
 * headerValue({ etag: "\"a\"" }, "etag"); // "\"a\""
 */
export function headerValue(headers: HeaderFields, name: string): string | undefined {
    const value = headers[name];
    return Array.isArray(value) ? value[0] : value;
}
