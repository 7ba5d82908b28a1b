import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { type FileHandle, open } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test, { type ExecutionContext } from "ava";
import { FolderDisk } from "./index.js";

function createFolder(t: ExecutionContext): string {
    const folder = mkdtempSync(join(tmpdir(), "gypsumpulley-disk-"));
    t.teardown(() => rmSync(folder, { recursive: true }));
    return folder;
}

/** Counts the syncs of files and folders from now on. */
async function countSyncs(t: ExecutionContext, folder: string): Promise<() => number> {
    const handle = await open(folder, "r");
    const prototype = Object.getPrototypeOf(handle) as FileHandle;
    await handle.close();
    const descriptor = Object.getOwnPropertyDescriptor(prototype, "sync");
    const sync = descriptor?.value as (this: FileHandle) => Promise<void>;
    t.teardown(() => Object.defineProperty(prototype, "sync", descriptor ?? {}));
    let count = 0;
    Object.defineProperty(prototype, "sync", {
        ...descriptor,
        value(this: FileHandle): Promise<void> {
            count += 1;
            return sync.call(this);
        },
    });
    return () => count;
}

test.serial("an append to an existing file takes one sync, and a replacement two", async (t) => {
    const folder = createFolder(t);
    const disk = await FolderDisk.create(folder);
    const syncCount = await countSyncs(t, folder);
    const syncsOf = async (write: () => Promise<void>): Promise<number> => {
        const before = syncCount();
        await write();
        return syncCount() - before;
    };
    t.is(await syncsOf(() => disk.append("log", Buffer.from("a"))), 2, "the folder as well, for the name of a new file");
    t.is(await syncsOf(() => disk.append("log", Buffer.from("b"))), 1);
    t.is(await syncsOf(() => disk.replace("hard-state", Buffer.from("c"))), 2);
    t.is(await syncsOf(() => disk.replace("log", Buffer.from("d"))), 2);
    t.is(await syncsOf(() => disk.append("log", Buffer.from("e"))), 1);
    t.is(readFileSync(join(folder, "log"), "utf8"), "de");
});
