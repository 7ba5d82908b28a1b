import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { request } from "undici";
import { WebSocket } from "ws";
import { findFreePorts } from "../bench/findFreePorts/index.js";
import { QuarantineController } from "../src/controllers/QuarantineController/index.js";
import { ConfigurationView } from "../src/decisions/configuration/ConfigurationView/index.js";
import { parseManifest } from "../src/decisions/configuration/parseManifest/index.js";
import { splitManifest } from "../src/decisions/configuration/splitManifest/index.js";
import { findConfigurationWarnings } from "../src/daemon/findConfigurationWarnings/index.js";
import { EndpointController } from "../src/gate/EndpointController/index.js";
import { listenHttp } from "../src/http/listenHttp/index.js";
import { LinkController } from "../src/links/LinkController/index.js";
import { EventLog } from "../src/logs/EventLog/index.js";
import { EventNumber } from "../src/logs/EventNumber.js";
import { EndpointState } from "../src/model/EndpointState.js";
import { MemberState } from "../src/model/MemberState.js";
import { Role } from "../src/model/Role.js";
import { FolderDisk } from "../src/storage/FolderDisk/index.js";

const MANIFEST = JSON.stringify({
    fleet: { name: "fleet", detection: "fast", failureDomains: ["a"] },
    services: [{ name: "orders", class: "order", floorSlots: 50 }],
    routes: [{ pathPrefix: "/orders", service: "orders" }],
});
const VIEW = ConfigurationView.create({ term: 1, version: 1, manifestVersion: 1 }, splitManifest(parseManifest(MANIFEST, "m.json")));
const POSITION = VIEW.position;
const OVERSIZED_HEADER_BYTES = 40 * 1_024;
const OVERSIZED_FRAME_BYTES = 65 * 1_024 * 1_024;

const network = {
    linkedVms: new Set<string>(),
    isClosing: false,
    connect: () => Promise.resolve(false),
    closeLink: () => undefined,
    broadcast: () => undefined,
    sendTo: () => false,
};

interface Case {
    readonly title: string;
    /** Performs the invalid operation. */
    readonly act: () => Promise<unknown>;
    readonly expectedMessage: RegExp;
}

const cases: readonly Case[] = [
    {
        title: "the error for an announcement of an unknown service names the field and its value",
        act: async () => {
            const events = EventLog.create("vm", undefined);
            const endpoints = EndpointController.create("vm", "vm@1", () => VIEW, QuarantineController.create(network, events), events);
            try {
                await Promise.resolve(endpoints.announce("e-1", {
                    service: "parcels",
                    address: "127.0.0.1:1",
                    instance: "",
                    state: EndpointState.Serving,
                }));
            }
            finally {
                endpoints.close();
            }
        },
        expectedMessage: /^announce e-1: service: found "parcels": no such service/,
    },
    {
        title: "the error for a port in use names the setting",
        act: async () => {
            const occupant = await listenHttp("127.0.0.1", 0, "first", () => undefined);
            try {
                await listenHttp("127.0.0.1", (occupant.address() as AddressInfo).port, "proxy.callerPort", () => undefined);
            }
            finally {
                occupant.close();
            }
        },
        expectedMessage: /^listen proxy\.callerPort \d+: .*EADDRINUSE/,
    },
    {
        title: "the error for a data folder that cannot be created names its path",
        act: async () => {
            const folder = mkdtempSync(join(tmpdir(), "gypsumpulley-bad-"));
            writeFileSync(join(folder, "file"), "");
            try {
                await FolderDisk.create(join(folder, "file", "data"));
            }
            finally {
                rmSync(folder, { recursive: true });
            }
        },
        expectedMessage: /^storage .*file\/data: .*ENOTDIR/,
    },
];

for (const { title, act, expectedMessage } of cases) {
    test(title, async (t) => {
        await t.throwsAsync(act, { any: true, message: expectedMessage });
    });
}

test("a floor above the announced capacity and an unknown failure domain cause warnings, not a refusal", (t) => {
    const warnings = findConfigurationWarnings(VIEW, [{
        vm: "vm-1",
        startedAtMs: 1,
        incarnation: "vm-1@1",
        sequence: 1,
        failureDomain: "z",
        roles: [Role.Proxy],
        state: MemberState.Serving,
        controlIdentity: "",
        linkAddress: "",
        gateAddress: "",
        endpoints: [{ endpointId: "e", gate: "g", service: "orders", state: EndpointState.Serving, slots: 5, connections: 400 }],
    }]);
    t.deepEqual(warnings, [
        { event: EventNumber.FloorAboveCapacity, subject: "orders", detail: "floorSlots 50, announced 5" },
        { event: EventNumber.UnknownFailureDomain, subject: "vm-1", detail: "z" },
    ]);
});

test("an oversized header is refused with status 431", async (t) => {
    const server = await listenHttp("127.0.0.1", 0, "port", (_request, response) => response.end());
    const address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    const response = await request(address, { headers: { "x-large": "a".repeat(OVERSIZED_HEADER_BYTES) } });
    t.is(response.statusCode, 431);
    await response.body.dump();
    server.close();
});

interface FrameCase {
    readonly title: string;
    readonly frame: () => Buffer;
}

const frameCases: readonly FrameCase[] = [
    { title: "a frame that is not a valid message closes only its own link", frame: () => Buffer.from("not a message") },
    { title: "an oversized frame closes only its own link", frame: () => Buffer.alloc(OVERSIZED_FRAME_BYTES) },
];

for (const { title, frame } of frameCases) {
    test(title, async (t) => {
        const [port = 0] = await findFreePorts(1);
        const errors: string[] = [];
        const handler = {
            onOpen: () => undefined,
            onMessage: () => undefined,
            onCall: () => Promise.resolve(undefined),
            onClose: () => undefined,
            onMessageError: () => undefined,
        };
        const create = (vm: string, linkPort: number, fleetKey: string): Promise<LinkController> => LinkController.create({
            identity: { vm, startedAtMs: 1, failureDomain: "a", roles: [Role.Proxy], linkAddress: `127.0.0.1:${linkPort}` },
            host: "127.0.0.1",
            port: linkPort,
            fleetKey,
        }, handler, () => POSITION, (error) => errors.push(error.message));
        const links = await create("self", port, "0123456789abcdef");
        const peer = await create("peer", 0, "0123456789abcdef");
        const otherKeyPeer = await create("stranger", 0, "another key of 16");
        t.not(await peer.connect(`127.0.0.1:${port}`), undefined);
        t.is(await otherKeyPeer.connect(`127.0.0.1:${port}`), undefined);
        const socket = new WebSocket(`ws://127.0.0.1:${port}`, { perMessageDeflate: false });
        socket.on("error", () => undefined);
        await once(socket, "open");
        socket.send(frame());
        await once(socket, "close");
        t.true(links.linkedVms.has("peer"));
        t.false(links.linkedVms.has("stranger"));
        t.true(errors.some((error) => error.includes("does not know the fleet key")));
        await Promise.all([links.close(), peer.close(), otherKeyPeer.close()]);
    });
}
