/** Exit codes of the command-line tool. */
export enum ExitCode {
    Done = 0,
    Refused = 1,
    Usage = 2,
    Unreachable = 3,
}
