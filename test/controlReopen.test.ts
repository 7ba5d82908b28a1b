import { rename, rm, writeFile } from "node:fs/promises";
import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { itemKey } from "../src/decisions/items/itemKey/index.js";
import { ItemKind } from "../src/decisions/items/ItemKind.js";
import { MessageKind } from "../src/links/MessageKind.js";
import { startControl } from "./fixtures/startControl.js";

const SERVICE = {
    key: itemKey(ItemKind.Service, "s"),
    version: 1,
    document: "s",
    content: { kind: ItemKind.Service as const, name: "s", healthPath: "/health", maxConnections: 10 },
};

async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
    for (let waitedMs = 0; !await condition() && waitedMs < 10_000; waitedMs += 50) {
        await delay(50);
    }
}

// Guards against a proxy that answers 404 for every route: it took the empty state of a control VM without a disk for all items.
test("a control VM whose disk has failed sends no snapshot until it has its items again", async (t) => {
    const { control, events, dataFolder, received, connect } = await startControl(t);
    const propose = (): Promise<boolean> => control.propose([SERVICE]).then(() => true, () => false);
    await waitUntil(propose);
    const link = await connect();
    const subscribe = (): unknown => link?.send({ kind: MessageKind.Subscribe, wants: true, wantsLoads: false });
    subscribe();
    await waitUntil(() => received.some(({ isComplete }) => isComplete));
    t.deepEqual(received.filter(({ isComplete }) => isComplete).map(({ items }) => items.length), [1]);

    await rename(dataFolder, `${dataFolder}-away`);
    await writeFile(dataFolder, "no folder");
    await control.propose([{ ...SERVICE, version: 2 }]).catch(() => undefined);
    await waitUntil(() => events.find("StorageFailed").length > 1);
    received.length = 0;
    subscribe();
    await delay(300);
    t.deepEqual(received.map(({ items }) => items.length), []);

    await rm(dataFolder);
    await rename(`${dataFolder}-away`, dataFolder);
    await waitUntil(() => received.some(({ isComplete }) => isComplete));
    t.deepEqual(received.filter(({ isComplete }) => isComplete).map(({ items }) => items.length), [1]);
});
