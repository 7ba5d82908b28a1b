import { isListening } from "../isListening/index.js";

/** Delays before the checks that follow the first one, in ms. A process that exits closes its sockets one after the other. */
const RECHECK_DELAYS_MS = [5, 15, 30, 50];

/**
 * Returns whether a server that dropped a connection is down. A server that exits may close its listening port shortly
 * after its connections, and a supervisor may start it again at once, so the port is checked several times.
 *
 * @param address - `host:port`.
 * @param accepts - Returns whether the server accepts a connection now.
 * @returns True if connections to the address were not accepted at one of the checks.
 * @example
 * await isServerDown("127.0.0.1:8080");
 */
export async function isServerDown(address: string, accepts: (address: string) => Promise<boolean> = isListening): Promise<boolean> {
    if (!await accepts(address)) {
        return true;
    }
    for (const delayMs of RECHECK_DELAYS_MS) {
        await new Promise((resolve) => setTimeout(resolve, delayMs));
        if (!await accepts(address)) {
            return true;
        }
    }
    return false;
}
