import { HeaderList } from "../../model/HeaderList.js";

/**
 * Finds the first value of a header field.
 *
 * @param headers - Header fields.
 * @param name - Name in lower case.
 * @returns The value, or undefined if the field is absent.
 * @example
 * findHeader([["Host", "a.example"]], "host"); // "a.example"
 */
export function findHeader(headers: HeaderList, name: string): string | undefined {
    return headers.find(([candidate]) => candidate.toLowerCase() === name)?.[1];
}
