import { HTTPError } from "h3";

/**
 * Creates an error that h3 answers as JSON with a message.
 *
 * @param status - Status code.
 * @param message - What went wrong, in one line.
 * @returns The error to throw.
 * @example
 * throw createHttpError(422, "service: found \"x\": no such service");
 */
export function createHttpError(status: number, message: string): HTTPError {
    return new HTTPError({ status, message, unhandled: false });
}
