import { ExitCode } from "./ExitCode.js";

/** Error that terminates the command-line tool with an exit code. */
export class CommandError extends Error {
    private constructor(readonly exitCode: ExitCode, message: string) {
        super(message);
    }

    /** Creates an error with the exit code to terminate with. */
    static create(exitCode: ExitCode, message: string): CommandError {
        return new CommandError(exitCode, message);
    }
}
