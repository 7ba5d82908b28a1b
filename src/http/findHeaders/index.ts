import { HeaderList } from "../../model/HeaderList.js";

/**
 * Finds all values of a header field.
 *
 * @param headers - Header fields.
 * @param name - Name in lower case.
 * @returns The values in their order; empty if the field is absent.
 * @example
 * findHeaders([["Via", "a"], ["via", "b"]], "via"); // ["a", "b"]
 */
export function findHeaders(headers: HeaderList, name: string): readonly string[] {
    return headers.filter(([candidate]) => candidate.toLowerCase() === name).map(([, value]) => value);
}
