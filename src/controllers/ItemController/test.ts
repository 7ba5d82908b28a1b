import { mkdtempSync, rmSync, statSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { ItemKind } from "../../decisions/items/ItemKind.js";
import { ItemOutcomeKind } from "../../decisions/items/ItemOutcomeKind.js";
import { VersionedItem } from "../../decisions/items/VersionedItem.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { FolderDisk } from "../../storage/FolderDisk/index.js";
import { ItemController } from "./index.js";

const MEGABYTE = 1_024 * 1_024;

function createChange(version: number): VersionedItem {
    return { key: `${ItemKind.Service} a`, version, content: undefined, document: "x".repeat(MEGABYTE) };
}

// Guards against a control VM that runs out of memory because it keeps a thousand changes, however large each is.
test("the log is compacted once its changes are large together, however few they are", async (t) => {
    const folder = mkdtempSync(join(tmpdir(), "gypsumpulley-items-"));
    t.teardown(() => rmSync(folder, { recursive: true }));
    const items = await ItemController.create(await FolderDisk.create(folder), "control-1", {
        minVoters: 1,
        send: () => undefined,
        learners: () => [],
        onItems: () => undefined,
    }, EventLog.create("control-1", undefined));
    t.teardown(() => items.close());
    await items.quorum.bootstrap();
    for (let version = 1; version <= 24; version += 1) {
        t.is((await items.propose([createChange(version)])).kind, ItemOutcomeKind.Accepted);
    }
    const logMegabytes = statSync(join(folder, "log")).size / MEGABYTE;
    t.log(`log of ${logMegabytes.toFixed(1)} MB after 24 changes of 1 MB`);
    t.true(logMegabytes < 10, `${logMegabytes.toFixed(1)} MB`);
    t.is(items.items.find(({ version }) => version === 24)?.document.length, MEGABYTE);
});
