import { HeaderList } from "../../model/HeaderList.js";

/**
 * Pairs a flat list of names and values, as Node.js gives raw headers.
 *
 * @param flat - Name, value, name, value.
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
