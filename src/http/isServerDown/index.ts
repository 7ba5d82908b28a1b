import { setTimeout as delay } from "node:timers/promises";
import { isListening } from "../isListening/index.js";

/** Delay before the second check, in ms. A process that exits closes its sockets one after the other. */
const RECHECK_DELAY_MS = 100;

/**
 * Returns whether a server that dropped a connection is down. A server that exits may close its listening port shortly
 * after its connections, so the port is checked twice.
 *
 * @param address - `host:port`.
 * @returns True if connections to the address are no longer accepted.
 * @example
 * await isServerDown("127.0.0.1:8080");
 */
export async function isServerDown(address: string): Promise<boolean> {
    if (!await isListening(address)) {
        return true;
    }
    await delay(RECHECK_DELAY_MS);
    return !await isListening(address);
}
