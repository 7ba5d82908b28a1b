import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { toError } from "../../model/toError/index.js";
import { decodeRecords } from "../decodeRecords/index.js";
import { Disk } from "../Disk.js";
import { encodeRecord } from "../encodeRecord/index.js";

/**
 * Append-only log of checksummed records. A record is appended only once it is synced; a failed append leaves the
 * log as it was, or makes it refuse all further work.
 */
export class RecordLog {
    private failure: FleetError | undefined;

    private constructor(
        private readonly disk: Disk,
        private readonly name: string,
        private lengthBytes: number,
        /** Records found when the log was opened. */
        readonly recovered: readonly Buffer[],
        /** Bytes of a torn record dropped when the log was opened. */
        readonly droppedBytes: number,
    ) {}

    /**
     * Opens a log and drops a torn record at its end.
     *
     * @param disk - Data folder.
     * @param name - File name.
     * @throws FleetError if a record before the end is corrupt, or the disk fails.
     */
    static async create(disk: Disk, name: string): Promise<RecordLog> {
        const data = await disk.read(name) ?? Buffer.alloc(0);
        const decoded = decodeRecords(data);
        if (decoded.corruptAt !== undefined) {
            throw FleetError.create(
                { step: Step.Storage, peer: name },
                `the record at byte ${decoded.corruptAt} is corrupt and whole records follow it; restore the data folder or return under a new identity`,
            );
        }
        const droppedBytes = data.length - decoded.wholeBytes;
        if (droppedBytes > 0) {
            await disk.truncate(name, decoded.wholeBytes);
        }
        return new RecordLog(disk, name, decoded.wholeBytes, decoded.payloads, droppedBytes);
    }

    /** Size of the log in bytes. */
    get sizeBytes(): number {
        return this.lengthBytes;
    }

    /**
     * Appends records and syncs them together.
     *
     * @param payloads - Records, in order.
     * @throws FleetError if they could not be made durable; none of them is in the log then.
     */
    async append(payloads: readonly Buffer[]): Promise<void> {
        this.assertUsable();
        const data = Buffer.concat(payloads.map(encodeRecord));
        try {
            await this.disk.append(this.name, data);
            this.lengthBytes += data.length;
        }
        catch (thrown) {
            await this.cutBack(toError(thrown));
            throw thrown;
        }
    }

    /** Replaces the whole content. */
    async rewrite(payloads: readonly Buffer[]): Promise<void> {
        this.assertUsable();
        const data = Buffer.concat(payloads.map(encodeRecord));
        await this.disk.replace(this.name, data);
        this.lengthBytes = data.length;
    }

    private async cutBack(cause: Error): Promise<void> {
        try {
            await this.disk.truncate(this.name, this.lengthBytes);
        }
        catch {
            this.failure = FleetError.create(
                { step: Step.Storage, peer: this.name, cause },
                "an append failed and could not be undone; restart the process once the disk works",
            );
        }
    }

    private assertUsable(): void {
        if (this.failure !== undefined) {
            throw this.failure;
        }
    }
}
