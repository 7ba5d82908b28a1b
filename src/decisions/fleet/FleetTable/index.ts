import { GateRecord } from "../GateRecord.js";

/** The newest record of each proxy's gate. */
export class FleetTable {
    private readonly records = new Map<string, GateRecord>();

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

    /**
     * Takes over the records that are newer than those held.
     *
     * @returns The records that were newer.
     */
    merge(records: readonly GateRecord[]): readonly GateRecord[] {
        const news = records.filter((record) => this.isNews(record));
        news.forEach((record) => this.records.set(record.vm, record));
        return news;
    }

    private isNews(record: GateRecord): boolean {
        const held = this.records.get(record.vm);
        return held === undefined || record.run > held.run || (record.run === held.run && record.sequence > held.sequence);
    }
}
