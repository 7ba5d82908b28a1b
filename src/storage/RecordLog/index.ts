import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { toError } from "../../model/toError/index.js";
import { decodeRecords } from "../decodeRecords/index.js";
import { Disk } from "../Disk.js";
import { encodeRecord } from "../encodeRecord/index.js";

/**
 * Append-only log of checksummed records. An append completes only after the records are synced. A failed append is undone; if
 * that fails too, the log rejects all further writes.
 */
export class RecordLog {
    private failure: FleetError | undefined;

    private constructor(
        private readonly disk: Disk,
        private readonly name: string,
        private lengthBytes: number,
        /** Records read when the log was opened. */
        readonly recovered: readonly Buffer[],
        /** Bytes of a partially written record removed when the log was opened. */
        readonly droppedBytes: number,
    ) {}

    /**
     * Opens a log, removes a partially written record at its end, and syncs the others: a process that was killed between a write
     * and its sync leaves records that can be read, but that a loss of power would still take.
     *
     * @param disk - Data folder.
     * @param name - File name.
     * @throws FleetError if a record is corrupt and intact records follow it, or if the disk fails.
     */
    static async create(disk: Disk, name: string): Promise<RecordLog> {
        const data = await disk.read(name) ?? Buffer.alloc(0);
        const decoded = decodeRecords(data);
        if (decoded.corruptOffset !== undefined) {
            throw FleetError.create(
                { step: Step.Storage, peer: name },
                `the record at byte ${decoded.corruptOffset} is corrupt and intact records follow it; restore the data folder or start with an empty one under a new identity`,
            );
        }
        const droppedBytes = data.length - decoded.validBytes;
        if (droppedBytes > 0) {
            await disk.truncate(name, decoded.validBytes);
        }
        else if (data.length > 0) {
            await disk.sync(name);
        }
        return new RecordLog(disk, name, decoded.validBytes, decoded.payloads, droppedBytes);
    }

    /** Size of the log in bytes. */
    get sizeBytes(): number {
        return this.lengthBytes;
    }

    /**
     * Appends records and syncs them in one write.
     *
     * @param payloads - Records, in order.
     * @throws FleetError if the records could not be written and synced; none of them is in the log then.
     */
    async append(payloads: readonly Buffer[]): Promise<void> {
        this.assertUsable();
        const data = Buffer.concat(payloads.map(encodeRecord));
        try {
            await this.disk.append(this.name, data);
            this.lengthBytes += data.length;
        }
        catch (thrown) {
            await this.undoAppend(toError(thrown));
            throw thrown;
        }
    }

    /** Replaces the whole content of the log atomically. */
    async rewrite(payloads: readonly Buffer[]): Promise<void> {
        this.assertUsable();
        const data = Buffer.concat(payloads.map(encodeRecord));
        await this.disk.replace(this.name, data);
        this.lengthBytes = data.length;
    }

    private async undoAppend(cause: Error): Promise<void> {
        try {
            await this.disk.truncate(this.name, this.lengthBytes);
        }
        catch {
            this.failure = FleetError.create(
                { step: Step.Storage, peer: this.name, cause },
                "an append failed and could not be undone; restart the process once the disk works again",
            );
        }
    }

    private assertUsable(): void {
        if (this.failure !== undefined) {
            throw this.failure;
        }
    }
}
