import { HTTPError } from "h3";

/**
 * Creates an error that h3 sends to the client as JSON with a message.
 *
 * @param status - Status code.
 * @param message - Description of the error in one line.
 * @returns The error to throw.
 * @example
 * throw createHttpError(422, "service: found \"x\": no such service");
 */
export function createHttpError(status: number, message: string): HTTPError {
    return new HTTPError({ status, message, unhandled: false });
}
