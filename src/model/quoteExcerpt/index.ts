/** Maximum number of quoted characters. */
const MAX_CHARACTERS = 80;

/**
 * Quotes the beginning of a text of a peer for the description of a problem, which is kept and logged: control characters
 * are escaped with six characters each, and the peer decides on the length.
 *
 * @param text - The text.
 * @returns The text in quotes, cut after 80 characters.
 * @example
 * quoteExcerpt("a\u0001b"); // "\"a\\u0001b\""
 */
export function quoteExcerpt(text: string): string {
    return text.length > MAX_CHARACTERS ? `${JSON.stringify(text.slice(0, MAX_CHARACTERS))}…` : JSON.stringify(text);
}
