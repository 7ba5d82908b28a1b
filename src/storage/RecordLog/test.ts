import test from "ava";
import fc from "fast-check";
import { Disk } from "../Disk.js";
import { encodeRecord } from "../encodeRecord/index.js";
import { RecordLog } from "./index.js";

/** In-memory disk whose appends can be set to fail after a partial write. */
class MemoryDisk implements Disk {
    readonly files = new Map<string, Buffer>();
    failAfterBytes: number | undefined;
    failTruncate = false;
    /** Names of the files that were synced without a write. */
    readonly syncs: string[] = [];

    read(name: string): Promise<Buffer | undefined> {
        return Promise.resolve(this.files.get(name));
    }

    append(name: string, data: Buffer): Promise<void> {
        const written = data.subarray(0, this.failAfterBytes ?? data.length);
        this.files.set(name, Buffer.concat([this.files.get(name) ?? Buffer.alloc(0), written]));
        return this.failAfterBytes === undefined ? Promise.resolve() : Promise.reject(new Error("no space left"));
    }

    replace(name: string, data: Buffer): Promise<void> {
        this.files.set(name, data);
        return Promise.resolve();
    }

    sync(name: string): Promise<void> {
        this.syncs.push(name);
        return Promise.resolve();
    }

    truncate(name: string, length: number): Promise<void> {
        if (this.failTruncate) {
            return Promise.reject(new Error("input/output error"));
        }
        this.files.set(name, (this.files.get(name) ?? Buffer.alloc(0)).subarray(0, length));
        return Promise.resolve();
    }
}

const NAME = "log";
const records = (...texts: readonly string[]): readonly Buffer[] => texts.map((text) => Buffer.from(text));
const textsOf = (log: RecordLog): readonly string[] => log.recovered.map(String);

test("records are read back in order after a restart", async (t) => {
    const disk = new MemoryDisk();
    const log = await RecordLog.create(disk, NAME);
    await log.append(records("a", "b"));
    await log.append(records("c"));
    t.deepEqual(textsOf(await RecordLog.create(disk, NAME)), ["a", "b", "c"]);
});

test("a log truncated at any byte keeps exactly the complete records before it", async (t) => {
    const texts = ["first", "second record", "3"];
    const complete = Buffer.concat(texts.map((text) => encodeRecord(Buffer.from(text))));
    await fc.assert(fc.asyncProperty(fc.integer({ min: 0, max: complete.length }), async (cut) => {
        const disk = new MemoryDisk();
        disk.files.set(NAME, complete.subarray(0, cut));
        const log = await RecordLog.create(disk, NAME);
        const kept = texts.filter((_, index) => {
            const end = texts.slice(0, index + 1).reduce((sum, text) => sum + encodeRecord(Buffer.from(text)).length, 0);
            return end <= cut;
        });
        return JSON.stringify(textsOf(log)) === JSON.stringify(kept);
    }), { seed: 1, numRuns: 200 });
    t.pass();
});

test("opening a log with a corrupt record before intact ones fails with an error that gives the offset", async (t) => {
    const disk = new MemoryDisk();
    const log = await RecordLog.create(disk, NAME);
    await log.append(records("first", "second"));
    const data = Buffer.from(disk.files.get(NAME) ?? Buffer.alloc(0));
    data[9] = (data[9] ?? 0) ^ 1;
    disk.files.set(NAME, data);
    await t.throwsAsync(RecordLog.create(disk, NAME), { any: true, message: /log: the record at byte 0 is corrupt/ });
});

test("a failed append leaves the log unchanged", async (t) => {
    const disk = new MemoryDisk();
    const log = await RecordLog.create(disk, NAME);
    await log.append(records("kept"));
    disk.failAfterBytes = 3;
    await t.throwsAsync(log.append(records("lost")));
    disk.failAfterBytes = undefined;
    await log.append(records("next"));
    t.deepEqual(textsOf(await RecordLog.create(disk, NAME)), ["kept", "next"]);
});

test("a failed append that cannot be undone makes the log reject further appends", async (t) => {
    const disk = new MemoryDisk();
    const log = await RecordLog.create(disk, NAME);
    disk.failAfterBytes = 3;
    disk.failTruncate = true;
    await t.throwsAsync(log.append(records("lost")));
    disk.failAfterBytes = undefined;
    disk.failTruncate = false;
    await t.throwsAsync(log.append(records("next")), { any: true, message: /could not be undone/ });
});

// Guards against an acknowledged change that is lost with the power: it was read back after a kill, and acknowledged by then.
test("records that an earlier process may have left unsynced are synced when the log is opened", async (t) => {
    const disk = new MemoryDisk();
    await RecordLog.create(disk, NAME);
    t.deepEqual(disk.syncs, []);
    disk.files.set(NAME, encodeRecord(Buffer.from("a")));
    t.deepEqual(textsOf(await RecordLog.create(disk, NAME)), ["a"]);
    t.deepEqual(disk.syncs, [NAME]);
});
