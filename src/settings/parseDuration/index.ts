const DURATION = /^(\d+(?:\.\d+)?)(ms|s)$/;
const MS_PER_SECOND = 1_000;

/**
 * Parses a duration written as a number and a unit.
 *
 * @param text - Duration, such as `1500ms` or `2.5s`.
 * @returns The duration in ms, or undefined if the text is not a duration.
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
