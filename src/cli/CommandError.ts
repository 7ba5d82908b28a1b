import { ExitCode } from "./ExitCode.js";

/** Error that ends the command-line tool with an exit code. */
export class CommandError extends Error {
    private constructor(readonly exitCode: ExitCode, message: string) {
        super(message);
    }

    /** Creates an error with the exit code that it leads to. */
    static create(exitCode: ExitCode, message: string): CommandError {
        return new CommandError(exitCode, message);
    }
}
