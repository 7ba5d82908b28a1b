import { ProbeDemand } from "../../outliers/ProbeDemand.js";
import { GateLoadReport } from "../GateLoadReport.js";
import { Grade } from "../Grade.js";
import { LIMIT_WAIT_STEP_MS } from "../limitWaitStepMs.js";
import { PackedLoadLayout } from "../PackedLoadLayout.js";

const UNKNOWN_SERVICE_MS = 0xFFFF;
const TENTHS = 10;
/** Maximum number of loads in a message; twice that of the proxies that a process knows. */
const MAX_LOADS = 8_192;
const GRADES = [Grade.Trusted, Grade.Doubted, Grade.Ejected];
const PROBE_DEMANDS = [ProbeDemand.None, ProbeDemand.Repeatable, ProbeDemand.Any];

/**
 * Unpacks the loads that `packLoads` has packed.
 *
 * @param packed - Packed loads; bytes after the last complete load are ignored, and more loads than a fleet has.
 * @param vmOf - Looks up the VM of a gate by its hash; returns undefined if the gate is not known.
 * @returns The loads of the known gates.
 * @example
 * unpackLoads(packLoads([load]), (hash) => table.vmOf(hash)); // [load]
 */
export function unpackLoads(packed: Uint8Array, vmOf: (hash: number) => string | undefined): readonly GateLoadReport[] {
    const bytes = Buffer.from(packed.buffer, packed.byteOffset, packed.byteLength);
    const loads: GateLoadReport[] = [];
    const endOffset = Math.min(bytes.length, MAX_LOADS * PackedLoadLayout.Length);
    for (let offset = 0; offset + PackedLoadLayout.Length <= endOffset; offset += PackedLoadLayout.Length) {
        const vm = vmOf(bytes.readUInt32LE(offset + PackedLoadLayout.Gate));
        if (vm !== undefined) {
            loads.push(unpackLoad(bytes, offset, vm));
        }
    }
    return loads;
}

function unpackLoad(bytes: Buffer, offset: number, vm: string): GateLoadReport {
    const flags = bytes.readUInt8(offset + PackedLoadLayout.Flags);
    const serviceMs = bytes.readUInt16LE(offset + PackedLoadLayout.ServiceTime);
    return {
        vm,
        running: bytes.readUInt8(offset + PackedLoadLayout.Running),
        queued: bytes.readUInt8(offset + PackedLoadLayout.Queued),
        slots: bytes.readUInt8(offset + PackedLoadLayout.Slots),
        limitWaitMs: flags >> 5 === 0 ? undefined : (flags >> 5) * LIMIT_WAIT_STEP_MS,
        serviceMs: serviceMs === UNKNOWN_SERVICE_MS ? undefined : serviceMs,
        grade: GRADES[flags & 3] ?? Grade.Trusted,
        suspicion: bytes.readUInt8(offset + PackedLoadLayout.Suspicion) / TENTHS,
        trialWish: PROBE_DEMANDS[flags >> 2 & 3] ?? ProbeDemand.None,
        shedShare: bytes.readUInt8(offset + PackedLoadLayout.ShedShare) / TENTHS,
        isIdle: (flags >> 4 & 1) === 1,
    };
}
