import { TrialWish } from "../../suspicion/TrialWish.js";
import { GateLoadReport } from "../GateLoadReport.js";
import { Grade } from "../Grade.js";
import { PackedLoadLayout } from "../PackedLoadLayout.js";

const UNKNOWN_TIME = 0xFFFF;
const TENTHS = 10;
const GRADES = [Grade.Trusted, Grade.Doubted, Grade.Ejected];
const WISHES = [TrialWish.None, TrialWish.Repeatable, TrialWish.Any];

/**
 * Reads packed loads.
 *
 * @param packed - Bytes that `packLoads` has made; what is behind the last whole load is passed over.
 * @param vmOf - Name of the VM behind a gate's number, or undefined if it is not known.
 * @returns The loads of the gates that are known.
 * @example
 * unpackLoads(packLoads([load]), (gate) => table.vmOf(gate)); // [load]
 */
export function unpackLoads(packed: Uint8Array, vmOf: (gate: number) => string | undefined): readonly GateLoadReport[] {
    const bytes = Buffer.from(packed.buffer, packed.byteOffset, packed.byteLength);
    const loads: GateLoadReport[] = [];
    for (let at = 0; at + PackedLoadLayout.Length <= bytes.length; at += PackedLoadLayout.Length) {
        const vm = vmOf(bytes.readUInt32LE(at + PackedLoadLayout.Gate));
        if (vm !== undefined) {
            loads.push(unpackLoad(bytes, at, vm));
        }
    }
    return loads;
}

function unpackLoad(bytes: Buffer, at: number, vm: string): GateLoadReport {
    const flags = bytes.readUInt8(at + PackedLoadLayout.Flags);
    const serviceMs = bytes.readUInt16LE(at + PackedLoadLayout.ServiceTime);
    return {
        vm,
        running: bytes.readUInt8(at + PackedLoadLayout.Running),
        queued: bytes.readUInt8(at + PackedLoadLayout.Queued),
        slots: bytes.readUInt8(at + PackedLoadLayout.Slots),
        serviceMs: serviceMs === UNKNOWN_TIME ? undefined : serviceMs,
        grade: GRADES[flags & 3] ?? Grade.Trusted,
        suspicion: bytes.readUInt8(at + PackedLoadLayout.Suspicion) / TENTHS,
        trialWish: WISHES[flags >> 2 & 3] ?? TrialWish.None,
        shedShare: bytes.readUInt8(at + PackedLoadLayout.ShedShare) / TENTHS,
        isIdle: (flags >> 4 & 1) === 1,
    };
}
