import { GateLoadReport } from "../GateLoadReport.js";
import { gateNumber } from "../gateNumber/index.js";
import { PackedLoadLayout } from "../PackedLoadLayout.js";

const MAX_BYTE = 0xFF;
/** Stands for a service time that is not known. */
const UNKNOWN_TIME = 0xFFFF;
const TENTHS = 10;

/**
 * Packs loads of gates into a few bytes each, as they are sent to every entry of the fleet.
 *
 * @param loads - Loads to pack.
 * @returns The bytes, which `unpackLoads` reads; counts above 255 are cut to it.
 * @example
 * packLoads([load]).length; // 12
 */
export function packLoads(loads: readonly GateLoadReport[]): Buffer {
    const packed = Buffer.alloc(loads.length * PackedLoadLayout.Length);
    loads.forEach((load, index) => {
        const at = index * PackedLoadLayout.Length;
        packed.writeUInt32LE(gateNumber(load.vm), at + PackedLoadLayout.Gate);
        packed.writeUInt8(Math.min(MAX_BYTE, load.running), at + PackedLoadLayout.Running);
        packed.writeUInt8(Math.min(MAX_BYTE, load.queued), at + PackedLoadLayout.Queued);
        packed.writeUInt8(Math.min(MAX_BYTE, load.slots), at + PackedLoadLayout.Slots);
        packed.writeUInt8(load.grade | load.trialWish << 2 | (load.isIdle ? 1 : 0) << 4, at + PackedLoadLayout.Flags);
        packed.writeUInt16LE(Math.min(UNKNOWN_TIME, load.serviceMs ?? UNKNOWN_TIME), at + PackedLoadLayout.ServiceTime);
        packed.writeUInt8(Math.min(MAX_BYTE, Math.round(load.suspicion * TENTHS)), at + PackedLoadLayout.Suspicion);
        packed.writeUInt8(Math.round(load.shedShare * TENTHS), at + PackedLoadLayout.ShedShare);
    });
    return packed;
}
