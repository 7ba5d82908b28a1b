import { crc32 } from "node:zlib";

/**
 * Hashes the name of a VM to the number that identifies its gate in packed loads.
 *
 * @param vm - Name of the VM.
 * @returns A 32-bit number. In the rare case of a collision within a fleet, the load of one gate may be attributed to the
 * other, which only makes the choice of a gate worse.
 * @example
 * gateHash("vm-1") === gateHash("vm-1"); // true
 */
export function gateHash(vm: string): number {
    return crc32(vm);
}
