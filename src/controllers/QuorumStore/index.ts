import { randomBytes } from "node:crypto";
import { Packr, Unpackr } from "msgpackr";
import { emptySnapshot } from "../../decisions/quorum/emptySnapshot.js";
import { HardState } from "../../decisions/quorum/HardState.js";
import { LogEntry } from "../../decisions/quorum/LogEntry.js";
import { QuorumOutput } from "../../decisions/quorum/QuorumOutput.js";
import { QuorumSnapshot } from "../../decisions/quorum/QuorumSnapshot.js";
import { QuorumState } from "../../decisions/quorum/QuorumState.js";
import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { toError } from "../../model/toError/index.js";
import { Disk } from "../../storage/Disk.js";
import { RecordLog } from "../../storage/RecordLog/index.js";

const IDENTITY_FILE = "identity";
const HARD_STATE_FILE = "hard-state";
const SNAPSHOT_FILE = "snapshot";
const LOG_FILE = "log";
const IDENTITY_BYTES = 6;
/** `<vm>:<hex>`. */
const IDENTITY = /^.+:[0-9a-f]+$/s;
const packr = new Packr({ useRecords: false });
const unpackr = new Unpackr({ useRecords: false });

type PersistentState = Pick<QuorumOutput, "hardState" | "entries" | "snapshot" | "remaining">;

/** Persistent store of a control VM's quorum: its identity, term and vote, a snapshot, and the log after the snapshot. */
export class QuorumStore {
    private operationCount = 0;

    private constructor(
        private readonly disk: Disk,
        private readonly log: RecordLog,
        /** Identity of the data folder, `<vm>:<hex>`; a VM that lost its disk gets a new one. */
        readonly identity: string,
        /** State read when the store was opened. */
        readonly state: QuorumState,
    ) {}

    /**
     * Opens the store of a control VM, creating it if the data folder is empty.
     *
     * @param disk - Data folder.
     * @param vm - Name of the VM.
     * @throws FleetError if the disk fails or a file is corrupt.
     */
    static async create(disk: Disk, vm: string): Promise<QuorumStore> {
        const identity = await readIdentity(disk, vm);
        const hardState = await readFile<HardState>(disk, HARD_STATE_FILE) ?? { term: 0, votedFor: undefined };
        const snapshot = { ...emptySnapshot, ...await readFile<QuorumSnapshot>(disk, SNAPSHOT_FILE) };
        const log = await RecordLog.create(disk, LOG_FILE);
        const state = { hardState, snapshot, entries: replayEntries(log.recovered) };
        return new QuorumStore(disk, log, identity, state);
    }

    /** Number of operations on the disk that have ended; a save takes up to four. */
    get endedOperationCount(): number {
        return this.operationCount;
    }

    /** Bytes of a partially written record removed when the store was opened. */
    get droppedBytes(): number {
        return this.log.droppedBytes;
    }

    /**
     * Persists the state in consecutive outputs of the quorum machine.
     *
     * @param outputs - The outputs, in order; only the last one may have a snapshot.
     * @throws FleetError if the disk fails; the durable messages of the outputs must not be sent then.
     */
    async save(outputs: readonly PersistentState[]): Promise<void> {
        const hardState = outputs.findLast((output) => output.hardState !== undefined)?.hardState;
        if (hardState !== undefined) {
            await this.run(() => this.disk.replace(HARD_STATE_FILE, packr.pack(hardState)));
        }
        const records = outputs.filter(({ entries }) => entries.length > 0).map(({ entries }) => packr.pack(entries));
        if (records.length > 0) {
            await this.run(() => this.log.append(records));
        }
        const { snapshot, remaining = [] } = outputs.at(-1) ?? {};
        if (snapshot !== undefined) {
            await this.run(() => this.disk.replace(SNAPSHOT_FILE, packr.pack(snapshot)));
            await this.run(() => this.log.rewrite(remaining.length > 0 ? [packr.pack(remaining)] : []));
        }
    }

    private async run(operation: () => Promise<void>): Promise<void> {
        await operation();
        this.operationCount += 1;
    }
}

async function readIdentity(disk: Disk, vm: string): Promise<string> {
    const stored = await disk.read(IDENTITY_FILE);
    if (stored !== undefined) {
        const text = stored.toString("utf8");
        if (!IDENTITY.test(text)) {
            throw createCorruptError(IDENTITY_FILE, "it is no identity");
        }
        return text;
    }
    const identity = `${vm}:${randomBytes(IDENTITY_BYTES).toString("hex")}`;
    await disk.replace(IDENTITY_FILE, Buffer.from(identity));
    return identity;
}

async function readFile<T>(disk: Disk, name: string): Promise<T | undefined> {
    const data = await disk.read(name);
    if (data === undefined) {
        return undefined;
    }
    try {
        const content: unknown = unpackr.unpack(data);
        if (typeof content === "object" && content !== null) {
            return content as T;
        }
    }
    catch (thrown) {
        throw createCorruptError(name, toError(thrown).message);
    }
    throw createCorruptError(name, "it is no record");
}

function createCorruptError(name: string, problem: string): FleetError {
    return FleetError.create(
        { step: Step.Storage, peer: name },
        `the file is corrupt: ${problem}; restore the data folder or start with an empty one under a new identity`,
    );
}

function replayEntries(records: readonly Buffer[]): readonly LogEntry[] {
    let entries: LogEntry[] = [];
    for (const record of records) {
        const batch = unpackr.unpack(record) as readonly LogEntry[];
        const first = batch[0]?.index ?? 0;
        entries = [...entries.filter((entry) => entry.index < first), ...batch];
    }
    return entries;
}
