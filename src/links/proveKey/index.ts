import { createHmac } from "node:crypto";

/**
 * Proves knowledge of the fleet key over a peer's nonce (HMAC challenge-response, RFC 2104).
 *
 * @param fleetKey - Key shared by the fleet.
 * @param nonce - Nonce that the peer chose.
 * @param vm - VM that proves, so that a proof cannot be reflected.
 * @returns Hexadecimal proof.
 * @example
 * proveKey("secret", "nonce", "vm-1").length; // 64
 */
export function proveKey(fleetKey: string, nonce: string, vm: string): string {
    return createHmac("sha256", fleetKey).update(`${nonce} ${vm}`).digest("hex");
}
