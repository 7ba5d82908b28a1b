/**
 * Converts any thrown value to an Error.
 *
 * @param thrown - Value caught.
 * @returns The value itself if it is an Error, otherwise an Error with its text.
 * @example
 * toError("no").message; // "no"
 */
export function toError(thrown: unknown): Error {
    return thrown instanceof Error ? thrown : new Error(String(thrown));
}
