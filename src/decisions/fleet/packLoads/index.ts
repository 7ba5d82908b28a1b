import { gateHash } from "../gateHash/index.js";
import { GateLoadReport } from "../GateLoadReport.js";
import { LIMIT_WAIT_STEP_MS } from "../limitWaitStepMs.js";
import { PackedLoadLayout } from "../PackedLoadLayout.js";

const MAX_BYTE = 0xFF;
/** Encodes a service time that is not known. */
const UNKNOWN_SERVICE_MS = 0xFFFF;
const TENTHS = 10;
const MAX_LIMIT_WAIT_STEPS = 7;

/**
 * Packs the loads of gates into a few bytes each, since they are sent to every entry of the fleet.
 *
 * @param loads - Loads to pack.
 * @returns The packed loads, to be read with `unpackLoads`; counts above 255 are stored as 255,
 * and waits for a limit in steps of 200 ms up to 1.4 s.
 * @example
 * packLoads([load]).length; // 12
 */
export function packLoads(loads: readonly GateLoadReport[]): Buffer {
    const packed = Buffer.alloc(loads.length * PackedLoadLayout.Length);
    loads.forEach((load, index) => {
        const offset = index * PackedLoadLayout.Length;
        packed.writeUInt32LE(gateHash(load.vm), offset + PackedLoadLayout.Gate);
        packed.writeUInt8(Math.min(MAX_BYTE, load.running), offset + PackedLoadLayout.Running);
        packed.writeUInt8(Math.min(MAX_BYTE, load.queued), offset + PackedLoadLayout.Queued);
        packed.writeUInt8(Math.min(MAX_BYTE, load.slots), offset + PackedLoadLayout.Slots);
        packed.writeUInt8(load.grade | load.trialWish << 2 | (load.isIdle ? 1 : 0) << 4 | limitWaitSteps(load) << 5, offset + PackedLoadLayout.Flags);
        packed.writeUInt16LE(Math.min(UNKNOWN_SERVICE_MS, load.serviceMs ?? UNKNOWN_SERVICE_MS), offset + PackedLoadLayout.ServiceTime);
        packed.writeUInt8(Math.min(MAX_BYTE, Math.round(load.suspicion * TENTHS)), offset + PackedLoadLayout.Suspicion);
        packed.writeUInt8(Math.round(load.shedShare * TENTHS), offset + PackedLoadLayout.ShedShare);
    });
    return packed;
}

function limitWaitSteps({ limitWaitMs }: GateLoadReport): number {
    return Math.min(MAX_LIMIT_WAIT_STEPS, Math.ceil((limitWaitMs ?? 0) / LIMIT_WAIT_STEP_MS));
}
