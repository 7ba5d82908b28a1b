import { Disk } from "../../../src/storage/Disk.js";
import { DiskProfile } from "../DiskProfile.js";
import { DiskProfileKind } from "../DiskProfileKind.js";
import { drawSyncMs } from "../drawSyncMs/index.js";

/** Syncs of one write: of the file, and of the folder after a rename. */
const SYNCS_PER_APPEND = 1;
const SYNCS_PER_REPLACE = 2;
/** Interval at which a hung disk is looked at again, in ms. */
const HUNG_CHECK_INTERVAL_MS = 10;

/** Data folder in memory whose syncs take the time of a profile. After a loss of power it holds only what was synced. */
export class SimulatedDisk implements Disk {
    private readonly files = new Map<string, Buffer>();
    /** Incremented at each loss of power; a write from before it has no effect. */
    private epoch = 0;
    /** Sync times of the disk. */
    profile: DiskProfile = { kind: DiskProfileKind.Steady, syncMs: 0 };

    private constructor(private readonly random: () => number) {}

    /**
     * Creates an empty disk whose syncs take no time.
     *
     * @param random - Random number generator with values in [0, 1).
     */
    static create(random: () => number): SimulatedDisk {
        return new SimulatedDisk(random);
    }

    /** Discards the writes that are not synced; they never end. */
    losePower(): void {
        this.epoch += 1;
    }

    read(name: string): Promise<Buffer | undefined> {
        return Promise.resolve(this.files.get(name));
    }

    append(name: string, data: Buffer): Promise<void> {
        return this.write(SYNCS_PER_APPEND, () => this.files.set(name, Buffer.concat([this.files.get(name) ?? Buffer.alloc(0), data])));
    }

    replace(name: string, data: Buffer): Promise<void> {
        return this.write(SYNCS_PER_REPLACE, () => this.files.set(name, data));
    }

    truncate(name: string, length: number): Promise<void> {
        return this.write(1, () => this.files.set(name, (this.files.get(name) ?? Buffer.alloc(0)).subarray(0, length)));
    }

    sync(): Promise<void> {
        return this.write(1, () => undefined);
    }

    private async write(syncs: number, apply: () => void): Promise<void> {
        const { epoch } = this;
        for (let count = 0; count < syncs; count += 1) {
            await this.waitForSync();
        }
        if (this.epoch !== epoch) {
            await new Promise<never>(() => undefined);
        }
        apply();
    }

    private async waitForSync(): Promise<void> {
        let syncMs = drawSyncMs(this.profile, this.random);
        while (!Number.isFinite(syncMs)) {
            await delay(HUNG_CHECK_INTERVAL_MS);
            syncMs = drawSyncMs(this.profile, this.random);
        }
        if (syncMs > 0) {
            await delay(syncMs);
        }
    }
}

/** Unlike the one of `node:timers/promises`, it follows a clock that a test has replaced. */
function delay(durationMs: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, durationMs));
}
