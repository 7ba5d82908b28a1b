import { HeaderFields } from "../HeaderFields.js";

/**
 * Returns the value of a header field.
 *
 * @param headers - Header fields by lower-case name.
 * @param name - Lower-case name.
 * @returns The value, the first one if there are several, or undefined if the field is absent.
 * @example
 * headerValue({ etag: "\"a\"" }, "etag"); // "\"a\""
 */
export function headerValue(headers: HeaderFields, name: string): string | undefined {
    const value = headers[name];
    return Array.isArray(value) ? value[0] : value;
}
