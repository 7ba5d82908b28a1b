/** Maximum length of a name or an address, in characters; that of a host name. */
const MAX_CHARACTERS = 255;

/**
 * Checks a name or an address that another process has sent and that is to be kept.
 *
 * @param value - What was received.
 * @returns True for a string of at most 255 characters.
 * @example
 * isShortText("vm-1"); // true
 */
export function isShortText(value: unknown): value is string {
    return typeof value === "string" && value.length <= MAX_CHARACTERS;
}
