import { gateNumber } from "../gateNumber/index.js";
import { GateRecord } from "../GateRecord.js";

/** The newest record of each proxy's gate. */
export class FleetTable {
    private readonly records = new Map<string, GateRecord>();
    private readonly vms = new Map<number, string>();

    private constructor() {}

    /** Creates an empty table. */
    static create(): FleetTable {
        return new FleetTable();
    }

    /** All records. */
    get all(): readonly GateRecord[] {
        return [...this.records.values()];
    }

    /** Number of proxies known. */
    get size(): number {
        return this.records.size;
    }

    /** Looks up the record of a VM. */
    find(vm: string): GateRecord | undefined {
        return this.records.get(vm);
    }

    /** Looks up the VM behind the number of a gate. */
    vmOf(gate: number): string | undefined {
        return this.vms.get(gate);
    }

    /**
     * Takes over the records that are newer than those held.
     *
     * @returns The records that were newer.
     */
    merge(records: readonly GateRecord[]): readonly GateRecord[] {
        const news = records.filter((record) => this.isNews(record));
        news.forEach((record) => {
            this.records.set(record.vm, record);
            this.vms.set(gateNumber(record.vm), record.vm);
        });
        return news;
    }

    private isNews(record: GateRecord): boolean {
        const held = this.records.get(record.vm);
        return held === undefined || record.run > held.run || (record.run === held.run && record.sequence > held.sequence);
    }
}
