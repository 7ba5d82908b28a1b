import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { FaultKind } from "../bench/processes/FaultKind.js";
import { LinkController } from "../src/links/LinkController/index.js";
import { MessageKind } from "../src/links/MessageKind.js";
import { Role } from "../src/model/Role.js";
import { reserveBlock } from "./fixtures/reserveBlock.js";
import { startProcesses } from "./fixtures/startProcesses.js";

const BLOCK = await reserveBlock("127.224.2");
const PEER_IP = `${BLOCK}.100`;
const LINK_PORT = 7_600;
const FLEET_KEY = "a key of the fleet that is long enough";
/** Time in which known control VMs are shared with all others, more than twice, in ms. */
const SHARING_MS = 6_000;

// Guards against a control VM that one entry ends: a timer compares what it shares with what it has shared before.
test("an entry of a control VM with a field that cannot be compared ends no process", async (t) => {
    t.timeout(60_000);
    const fleet = await startProcesses("127.224.2", 1);
    const links = await LinkController.create(
        {
            identity: { vm: "proxy-9", startedAtMs: 1, failureDomain: "a", roles: [Role.Proxy], linkAddress: `${PEER_IP}:${LINK_PORT}` },
            host: PEER_IP,
            port: LINK_PORT,
            fleetKey: FLEET_KEY,
        },
        {
            onOpen: () => undefined,
            onMessage: () => undefined,
            onCall: () => Promise.resolve(undefined),
            onClose: () => undefined,
            onMessageError: () => undefined,
        },
        () => ({ term: 0, version: 0, manifestVersion: 0 }),
        () => undefined,
    );
    t.teardown(async () => {
        await links.close();
        await fleet.close(false);
    });
    const link = await links.connect(`${BLOCK}.1:${LINK_PORT}`);
    const odd = { vm: "control-9", linkAddress: `${BLOCK}.200:${LINK_PORT}`, identity: "control-9:ab", weight: 2n ** 60n };
    link?.send({ kind: MessageKind.ControlPeers, self: undefined, peers: [odd] });
    await delay(SHARING_MS);
    t.deepEqual(fleet.faults.filter(({ kind }) => kind === FaultKind.OwnEnd), []);
});
