import { HeaderList } from "../../model/HeaderList.js";

/**
 * Converts a flat list of header names and values, such as `rawHeaders` of Node.js, to pairs.
 *
 * @param flat - Names and values in turn.
 * @returns The header fields.
 * @example
 * pairHeaders(["Host", "a.example"]); // [["Host", "a.example"]]
 */
export function pairHeaders(flat: readonly string[]): HeaderList {
    const pairs: [string, string][] = [];
    for (let index = 0; index + 1 < flat.length; index += 2) {
        pairs.push([flat[index] ?? "", flat[index + 1] ?? ""]);
    }
    return pairs;
}
