import { createHmac } from "node:crypto";

/**
 * Derives the token by which processes of the fleet know each other over HTTP.
 *
 * @param fleetKey - Key shared by the fleet.
 * @returns Hexadecimal token.
 * @example
 * deriveToken("a key of the fleet").length; // 64
 */
export function deriveToken(fleetKey: string): string {
    return createHmac("sha256", fleetKey).update("gate").digest("hex");
}
