const DURATION = /^(\d+(?:\.\d+)?)(ms|s)$/;
const MS_PER_SECOND = 1_000;

/**
 * Reads a length of time that is written as a number and its unit.
 *
 * @param text - For example `1500ms` or `2.5s`.
 * @returns The length in ms, or undefined if it cannot be read.
 * @example
 * parseDuration("2.5s"); // 2500
 */
export function parseDuration(text: string): number | undefined {
    const match = DURATION.exec(text);
    if (match === null) {
        return undefined;
    }
    return Number(match[1]) * (match[2] === "s" ? MS_PER_SECOND : 1);
}
