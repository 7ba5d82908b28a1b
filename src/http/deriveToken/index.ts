import { createHmac } from "node:crypto";

/**
 * Derives the token with which processes of the fleet authenticate to each other over HTTP.
 *
 * @param fleetKey - Key shared by the fleet.
 * @returns The token in hexadecimal.
 * @example
 * deriveToken("a key of the fleet").length; // 64
 */
export function deriveToken(fleetKey: string): string {
    return createHmac("sha256", fleetKey).update("gate").digest("hex");
}
