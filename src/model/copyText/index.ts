/**
 * Copies the beginning of a text that is kept for long. A part of a text, such as a match in a line that a peer has sent, keeps
 * the whole text in memory.
 *
 * @param text - The text.
 * @param maxCharacters - Maximum number of characters.
 * @returns The text, cut after that number.
 * @example
 * copyText("server-mood", 6); // "server"
 */
export function copyText(text: string, maxCharacters: number): string {
    return Buffer.from(text.slice(0, maxCharacters), "utf16le").toString("utf16le");
}
