import { gateHash } from "../gateHash/index.js";
import { GateRecord } from "../GateRecord.js";
import { isGateRecord } from "../isGateRecord/index.js";
import { selectRecordFields } from "../selectRecordFields/index.js";

/** Maximum number of proxies, several times those of a large fleet. */
const MAX_PROXIES = 4_096;

/** Table of the newest record of each proxy's gate. */
export class FleetTable {
    private readonly records = new Map<string, GateRecord>();
    /** VMs by the hash of their gate. */
    private readonly vms = new Map<number, string>();
    /** VMs of the proxies that have stopped. */
    private readonly closedVms = new Set<string>();
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
     * Stores the records that are newer than those in the table. Skips what is no record, so that it is not passed on either. Once
     * the table is full, a further proxy takes the place of one that has stopped, or is skipped if all run.
     *
     * @returns The records that were newer.
     */
    merge(records: readonly unknown[]): readonly GateRecord[] {
        return records.filter(isGateRecord).filter((record) => this.isNewer(record)).map(selectRecordFields).filter((record) => {
            if (!this.makeRoom(record)) {
                this.refusedCount += 1;
                return false;
            }
            this.records.set(record.vm, record);
            this.vms.set(gateHash(record.vm), record.vm);
            if (record.isOpen) {
                this.closedVms.delete(record.vm);
            }
            else {
                this.closedVms.add(record.vm);
            }
            return true;
        });
    }

    /** Returns whether there is room for a record; removes a closed record if the table is full. */
    private makeRoom({ vm }: GateRecord): boolean {
        if (this.records.has(vm) || this.records.size < MAX_PROXIES) {
            return true;
        }
        const [closedVm] = this.closedVms;
        if (closedVm === undefined) {
            return false;
        }
        this.closedVms.delete(closedVm);
        this.records.delete(closedVm);
        this.vms.delete(gateHash(closedVm));
        return true;
    }

    private isNewer(record: GateRecord): boolean {
        const existing = this.records.get(record.vm);
        return existing === undefined || record.run > existing.run || (record.run === existing.run && record.sequence > existing.sequence);
    }
}
