import { gateHash } from "../gateHash/index.js";
import { GateRecord } from "../GateRecord.js";
import { isGateRecord } from "../isGateRecord/index.js";

/** Maximum number of proxies; several times those of a large fleet and of their replacements in a long run. */
const MAX_PROXIES = 4_096;

/** Table of the newest record of each proxy's gate. */
export class FleetTable {
    private readonly records = new Map<string, GateRecord>();
    /** VMs by the hash of their gate. */
    private readonly vms = new Map<number, string>();
    private refusedCount = 0;

    private constructor() {}

    /** Creates an empty table. */
    static create(): FleetTable {
        return new FleetTable();
    }

    /** All records. */
    get all(): readonly GateRecord[] {
        return [...this.records.values()];
    }

    /** Number of known proxies. */
    get size(): number {
        return this.records.size;
    }

    /** Number of records for which there was no room. */
    get refusals(): number {
        return this.refusedCount;
    }

    /** Looks up the record of a VM. */
    find(vm: string): GateRecord | undefined {
        return this.records.get(vm);
    }

    /** Looks up the VM of a gate by its hash; see `gateHash`. */
    vmOf(hash: number): string | undefined {
        return this.vms.get(hash);
    }

    /**
     * Stores the records that are newer than those in the table. Skips what is no record, so that it is not passed on either, and
     * further proxies once the table is full.
     *
     * @returns The records that were newer.
     */
    merge(records: readonly unknown[]): readonly GateRecord[] {
        return records.filter(isGateRecord).filter((record) => {
            const hasRoom = this.records.has(record.vm) || this.records.size < MAX_PROXIES;
            const isStored = hasRoom && this.isNewer(record);
            if (!hasRoom) {
                this.refusedCount += 1;
            }
            if (isStored) {
                this.records.set(record.vm, record);
                this.vms.set(gateHash(record.vm), record.vm);
            }
            return isStored;
        });
    }

    private isNewer(record: GateRecord): boolean {
        const existing = this.records.get(record.vm);
        return existing === undefined || record.run > existing.run || (record.run === existing.run && record.sequence > existing.sequence);
    }
}
