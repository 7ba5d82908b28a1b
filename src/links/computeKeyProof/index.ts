import { createHmac } from "node:crypto";

/**
 * Computes the proof of knowing the fleet key for a peer's nonce (HMAC challenge-response, RFC 2104).
 *
 * @param fleetKey - Secret key shared by the fleet.
 * @param nonce - Nonce chosen by the peer.
 * @param vm - VM that computes the proof; included so that a proof cannot be reflected to its sender.
 * @returns The proof in hexadecimal.
 * @example
 * computeKeyProof("secret", "nonce", "vm-1").length; // 64
 */
export function computeKeyProof(fleetKey: string, nonce: string, vm: string): string {
    return createHmac("sha256", fleetKey).update(`${nonce} ${vm}`).digest("hex");
}
