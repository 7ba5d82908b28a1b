import { crc32 } from "node:zlib";

/**
 * Short number that stands for the gate of a VM in packed loads.
 *
 * @param vm - Name of the VM.
 * @returns A number of 32 bits. Two VMs of one fleet rarely share it; then the load of one may be taken for the other's,
 * which only costs a better choice.
 * @example
 * gateNumber("vm-1") === gateNumber("vm-1"); // true
 */
export function gateNumber(vm: string): number {
    return crc32(vm);
}
