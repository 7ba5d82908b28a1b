import { setTimeout as delay } from "node:timers/promises";
import { isListening } from "../isListening/index.js";

/** Time between two looks at a server that has broken a connection off, in ms: a process that ends closes one after the other. */
const LOOK_AGAIN_MS = 100;

/**
 * Tells whether a server that broke a connection off is gone. One that ends may close its listening port a moment after
 * the connection, so that it is looked at twice.
 *
 * @param address - `host:port`.
 * @returns True if nothing accepts connections there any more.
 * @example
 * await isServerLost("127.0.0.1:8080");
 */
export async function isServerLost(address: string): Promise<boolean> {
    if (!await isListening(address)) {
        return true;
    }
    await delay(LOOK_AGAIN_MS);
    return !await isListening(address);
}
