import { mkdtemp, rename, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { findFreePorts } from "../bench/findFreePorts/index.js";
import { createSettings } from "../bench/processes/createSettings/index.js";
import { itemKey } from "../src/decisions/items/itemKey/index.js";
import { ItemKind } from "../src/decisions/items/ItemKind.js";
import { LinkController } from "../src/links/LinkController/index.js";
import { Message } from "../src/links/Message.js";
import { MessageKind } from "../src/links/MessageKind.js";
import { EventLog } from "../src/logs/EventLog/index.js";
import { ControlPlaneRole } from "../src/mesh/ControlPlaneRole/index.js";
import { parseMeshSettings } from "../src/mesh/parseMeshSettings/index.js";
import { Role } from "../src/model/Role.js";

const IP = "127.0.0.1";
const FLEET_KEY = "a key of the fleet that is long enough";
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
    const [controlPort = 0, linkPort = 0, peerPort = 0] = await findFreePorts(3);
    const folder = await mkdtemp(join(tmpdir(), "gypsumpulley-"));
    const dataFolder = join(folder, "data");
    const text = createSettings({
        name: "control-1",
        ip: IP,
        isFirstStart: true,
        seeds: [`${IP}:${controlPort}`],
        linkPort,
        graceMs: 1_000,
        role: { dataFolder },
        ports: { control: controlPort, outbound: 0, ready: 0 },
    }).replace("toleratedLosses = 1", "toleratedLosses = 0");
    const events = EventLog.create("control-1", undefined);
    const control = await ControlPlaneRole.create(parseMeshSettings(text, "settings.toml"), events);
    const received: Extract<Message, { kind: MessageKind.ItemUpdate }>[] = [];
    const links = await LinkController.create({
        identity: { vm: "proxy-1", startedAtMs: 1, failureDomain: "a", roles: [Role.Proxy], linkAddress: `${IP}:${peerPort}` },
        host: IP,
        port: peerPort,
        fleetKey: FLEET_KEY,
    }, {
        onOpen: () => undefined,
        onMessage: (_link, message) => {
            if (message.kind === MessageKind.ItemUpdate) {
                received.push(message);
            }
        },
        onCall: () => Promise.resolve(undefined),
        onClose: () => undefined,
        onMessageError: () => undefined,
    }, () => ({ term: 0, version: 0, manifestVersion: 0 }), () => undefined);
    t.teardown(async () => {
        await links.close();
        await control.stop();
        await rm(folder, { recursive: true });
    });
    const propose = (): Promise<boolean> => control.propose([SERVICE]).then(() => true, () => false);
    await waitUntil(propose);
    const link = await links.connect(`${IP}:${linkPort}`);
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
