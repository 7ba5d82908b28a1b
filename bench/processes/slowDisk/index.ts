// Loaded by Node.js before the program of a process: gives its disk the sync times of a profile, which the soak changes while it runs.
import { readFileSync } from "node:fs";
import { type FileHandle, open } from "node:fs/promises";
import { setTimeout as delay } from "node:timers/promises";
import { DiskProfile } from "../../quorum/DiskProfile.js";
import { drawSyncMs } from "../../quorum/drawSyncMs/index.js";
import { diskProfileVariable } from "../diskProfileVariable.js";

const HUNG_CHECK_INTERVAL_MS = 20;

function readProfile(): DiskProfile {
    return JSON.parse(readFileSync(process.env[diskProfileVariable] ?? "", "utf8")) as DiskProfile;
}

const probe = await open(process.execPath, "r");
const prototype = Object.getPrototypeOf(probe) as FileHandle;
await probe.close();
const descriptor = Object.getOwnPropertyDescriptor(prototype, "sync");
const sync = descriptor?.value as (this: FileHandle) => Promise<void>;

Object.defineProperty(prototype, "sync", {
    ...descriptor,
    async value(this: FileHandle): Promise<void> {
        let syncMs = drawSyncMs(readProfile(), Math.random);
        while (!Number.isFinite(syncMs)) {
            await delay(HUNG_CHECK_INTERVAL_MS);
            syncMs = drawSyncMs(readProfile(), Math.random);
        }
        await delay(syncMs);
        await sync.call(this);
    },
});
