import VError from "verror";

/**
 * Returns whether what failed at a start may succeed later, without any change to the process or its data. That holds for whatever
 * the operating system refuses: a port that is held, an address that is absent, a disk that fails, descriptors that are used up.
 *
 * @param error - Error of a system call, or one that has such an error as its cause.
 * @returns False for corrupt data and for settings that are impossible.
 * @example
 * isPassingError(Object.assign(new Error("in use"), { code: "EADDRINUSE", syscall: "listen" })); // true
 */
export function isPassingError(error: Error): boolean {
    const cause: unknown = VError.cause(error);
    return "syscall" in error || (cause instanceof Error && isPassingError(cause));
}
