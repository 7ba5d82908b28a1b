const MIN_STATUS = 200;
const MAX_STATUS = 599;

/**
 * Returns whether a value that another process or server states is the status of a final response. The parser of the HTTP
 * client accepts any three digits, and the decoder of frames any value.
 *
 * @param status - The value.
 * @returns True for integers from 200 to 599.
 * @example
 * isFinalStatus(204); // true
 */
export function isFinalStatus(status: unknown): boolean {
    return typeof status === "number" && Number.isInteger(status) && status >= MIN_STATUS && status <= MAX_STATUS;
}
