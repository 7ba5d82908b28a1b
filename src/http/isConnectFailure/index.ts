/**
 * Returns whether a request failed while its connection was being opened, in which case nothing was sent.
 *
 * @param error - Error of undici.
 * @returns True if the connection was not established.
 * @example
 * isConnectFailure(Object.assign(new Error("refused"), { syscall: "connect" })); // true
 */
export function isConnectFailure(error: Error): boolean {
    const { code, syscall } = error as NodeJS.ErrnoException;
    return syscall === "connect" || code === "UND_ERR_CONNECT_TIMEOUT";
}
