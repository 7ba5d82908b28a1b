import { setTimeout as delay } from "node:timers/promises";
import { DiskProfile } from "../../quorum/DiskProfile.js";
import { DiskProfileKind } from "../../quorum/DiskProfileKind.js";
import { ProcessFleet } from "../ProcessFleet/index.js";

const FAST_DISK: DiskProfile = { kind: DiskProfileKind.Steady, syncMs: 1 };
const FAULTY_DISKS: readonly DiskProfile[] = [
    { kind: DiskProfileKind.Steady, syncMs: 60 },
    { kind: DiskProfileKind.Steady, syncMs: 200 },
    { kind: DiskProfileKind.Uneven, syncMs: 5, slowSyncMs: 700, slowShare: 0.1 },
    { kind: DiskProfileKind.Hung },
];
const MIN_FAULT_MS = 500;
const MAX_FAULT_MS = 5_000;

/** Makes the disks of control VMs slow, uneven or hung for some seconds, one after the other and overlapping. */
export class DiskFaultSource {
    private constructor(private readonly fleet: ProcessFleet, private readonly random: () => number) {}

    /**
     * Creates a source that does nothing yet.
     *
     * @param fleet - The processes, which must have disks with profiles.
     * @param random - Source of random numbers from 0 to 1.
     */
    static create(fleet: ProcessFleet, random: () => number): DiskFaultSource {
        return new DiskFaultSource(fleet, random);
    }

    /** Injects faults for a time, and resolves when all disks are fast again. */
    async run(durationMs: number): Promise<void> {
        const isOver = AbortSignal.timeout(durationMs);
        await Promise.all(this.fleet.controlNames.map(async (name) => {
            while (!isOver.aborted) {
                await delay(this.random() * MAX_FAULT_MS);
                this.fleet.setDiskProfile(name, FAULTY_DISKS[Math.floor(this.random() * FAULTY_DISKS.length)] ?? FAST_DISK);
                await delay(MIN_FAULT_MS + this.random() * (MAX_FAULT_MS - MIN_FAULT_MS));
                this.fleet.setDiskProfile(name, FAST_DISK);
            }
        }));
    }
}
