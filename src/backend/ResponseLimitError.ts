import { ResponseExcess } from "./ResponseExcess.js";

/** Error of a response that exceeds a limit. */
export class ResponseLimitError extends Error {
    private constructor(readonly excess: ResponseExcess, message: string) {
        super(message);
    }

    /**
     * Creates the error.
     *
     * @param excess - The limit and what exceeds it.
     * @param message - What was refused.
     */
    static create(excess: ResponseExcess, message: string): ResponseLimitError {
        return new ResponseLimitError(excess, message);
    }
}
