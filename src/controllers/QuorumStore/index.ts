import { randomBytes } from "node:crypto";
import { Packr, Unpackr } from "msgpackr";
import { HardState } from "../../decisions/quorum/HardState.js";
import { LogEntry } from "../../decisions/quorum/LogEntry.js";
import { QuorumOutput } from "../../decisions/quorum/QuorumOutput.js";
import { QuorumSnapshot } from "../../decisions/quorum/QuorumSnapshot.js";
import { QuorumState } from "../../decisions/quorum/QuorumState.js";
import { Disk } from "../../storage/Disk.js";
import { RecordLog } from "../../storage/RecordLog/index.js";

const IDENTITY_FILE = "identity";
const HARD_STATE_FILE = "hard-state";
const SNAPSHOT_FILE = "snapshot";
const LOG_FILE = "log";
const IDENTITY_BYTES = 6;
const packr = new Packr({ useRecords: false });
const unpackr = new Unpackr({ useRecords: false });

const EMPTY_SNAPSHOT: QuorumSnapshot = {
    lastIndex: 0,
    lastTerm: 0,
    voters: [],
    position: { term: 0, version: 0, manifestVersion: 0 },
    parts: [],
    items: [],
    retained: [],
};

/** What a control VM keeps in its data folder: its identity, its vote, a snapshot and the log behind it. */
export class QuorumStore {
    private constructor(
        private readonly disk: Disk,
        private readonly log: RecordLog,
        /** Identity of the data folder: `<vm>:<hex>`, a new one if the disk was lost. */
        readonly identity: string,
        /** State found when the store was opened. */
        readonly state: QuorumState,
    ) {}

    /**
     * Opens the store of a control VM, and creates it if the data folder is empty.
     *
     * @param disk - Data folder.
     * @param vm - Name of the VM.
     * @throws FleetError if the disk fails or the log is corrupt.
     */
    static async create(disk: Disk, vm: string): Promise<QuorumStore> {
        const identity = await readIdentity(disk, vm);
        const hardState = await readFile<HardState>(disk, HARD_STATE_FILE) ?? { term: 0, votedFor: undefined };
        const snapshot = { ...EMPTY_SNAPSHOT, ...await readFile<QuorumSnapshot>(disk, SNAPSHOT_FILE) };
        const log = await RecordLog.create(disk, LOG_FILE);
        const state = { hardState, snapshot, entries: replay(log.recovered) };
        return new QuorumStore(disk, log, identity, state);
    }

    /** Bytes of a torn record dropped when the store was opened. */
    get droppedBytes(): number {
        return this.log.droppedBytes;
    }

    /**
     * Makes durable what an output names.
     *
     * @param output - Output of the quorum machine.
     * @param remaining - Entries behind the snapshot, if the output has one.
     * @throws FleetError if the disk fails; nothing of the output may be sent then.
     */
    async save(output: QuorumOutput, remaining: readonly LogEntry[]): Promise<void> {
        if (output.hardState !== undefined) {
            await this.disk.replace(HARD_STATE_FILE, packr.pack(output.hardState));
        }
        if (output.entries.length > 0) {
            await this.log.append([packr.pack(output.entries)]);
        }
        if (output.snapshot !== undefined) {
            await this.disk.replace(SNAPSHOT_FILE, packr.pack(output.snapshot));
            await this.log.rewrite(remaining.length > 0 ? [packr.pack(remaining)] : []);
        }
    }
}

async function readIdentity(disk: Disk, vm: string): Promise<string> {
    const known = await disk.read(IDENTITY_FILE);
    if (known !== undefined) {
        return known.toString("utf8");
    }
    const identity = `${vm}:${randomBytes(IDENTITY_BYTES).toString("hex")}`;
    await disk.replace(IDENTITY_FILE, Buffer.from(identity));
    return identity;
}

async function readFile<T>(disk: Disk, name: string): Promise<T | undefined> {
    const data = await disk.read(name);
    return data === undefined ? undefined : unpackr.unpack(data) as T;
}

function replay(records: readonly Buffer[]): readonly LogEntry[] {
    let entries: LogEntry[] = [];
    for (const record of records) {
        const batch = unpackr.unpack(record) as readonly LogEntry[];
        const first = batch[0]?.index ?? 0;
        entries = [...entries.filter((entry) => entry.index < first), ...batch];
    }
    return entries;
}
