import { once } from "node:events";
import { createServer, request } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { findFreePorts } from "../bench/findFreePorts/index.js";
import { EventLog } from "../src/logs/EventLog/index.js";
import { parseMeshSettings } from "../src/mesh/parseMeshSettings/index.js";
import { SidecarRole } from "../src/mesh/SidecarRole/index.js";
import { PlatformDialect } from "../platform/PlatformDialect/index.js";
import { startFleet } from "./fixtures/startFleet.js";

const GRACE_MS = 6_000;
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

async function createSettings(): Promise<{ text: string; callerPort: number }> {
    const [callerPort = 0, announcePort = 0, readyPort = 0, backendPort = 0, linkPort = 0] = await findFreePorts(5);
    const text = `
[vm]
name = "vm-1"
ip = "127.0.0.1"
failureDomain = "a"
isFirstStart = true
[links]
firstPort = ${linkPort}
seeds = []
fleetKey = "a key of the fleet that is long enough"
[terms]
toleratedLosses = 1
grace = "${GRACE_MS}ms"
retryRatio = 0.2
retryWindow = "10s"
retrySlack = 60
[proxy]
callerAddress = "127.0.0.1:${callerPort}"
announceAddress = "127.0.0.1:${announcePort}"
readyAddress = "127.0.0.1:${readyPort}"
backendAddress = "127.0.0.1:${backendPort}"
service = "s"
`;
    return { text, callerPort };
}

// Guards against endpoints without requests for as long as their proxies take to stop: the capacity of each was unused, and service fell below the
// share of endpoints that must get requests (rule FLOOR).
test.serial("an endpoint gets requests that may be repeated while the proxy beside it is stopping, and others are refused as not run", async (t) => {
    let arrivals = 0;
    const server = createServer((received, response) => {
        arrivals += 1;
        response.writeHead(STATUS_OK, { "Attempt-Id": String(received.headers["attempt-id"]), "Response-Signature": "s", "Content-Length": 2 });
        setTimeout(() => response.end("ok"), 100);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { callerAddress, gate, close } = await startFleet((server.address() as AddressInfo).port, GRACE_MS);
    const send = (number: number, host = "repeatable.example"): Promise<number | undefined> => new Promise((resolve) => {
        const headers = { "Host": host, "Attempt-Id": `stopping-${number}`, "Deadline-Ms": "3000" };
        request({ ...callerAddress, path: "/p/", method: "POST", headers, agent: false }, (response) => {
            response.resume();
            response.once("end", () => resolve(response.statusCode));
        }).once("error", () => resolve(undefined)).end();
    });
    t.is(await send(0), STATUS_OK);
    const stopped = gate.stop();
    await delay(500);
    t.deepEqual(await Promise.all([1, 2, 3].map((number) => send(number))), [STATUS_OK, STATUS_OK, STATUS_OK]);
    t.is(await send(5, "once.example"), STATUS_UNAVAILABLE);
    t.is(arrivals, 4);
    t.false(gate.isReady);
    await stopped;
    t.is(await send(4), STATUS_UNAVAILABLE);
    await close();
    server.close();
});

test.serial("during a graceful stop, a request whose body is still arriving gets a response before the process exits", async (t) => {
    const { text, callerPort } = await createSettings();
    const role = await SidecarRole.create(parseMeshSettings(text, "settings.toml"), PlatformDialect.create(), EventLog.create("vm-1", undefined));
    const caller = connect(callerPort, "127.0.0.1");
    await once(caller, "connect");
    let received = "";
    caller.on("data", (chunk: Buffer) => {
        received += chunk.toString();
    });
    caller.on("error", () => undefined);
    caller.write("POST /p/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\nContent-Length: 100\r\n\r\nthe first part");
    await delay(100);
    const stopped = role.stop();
    await delay(3_500);
    caller.write("x".repeat(100 - "the first part".length));
    await stopped;
    t.regex(received, /^HTTP\/1.1 503 /);
    t.regex(received, /Retry-After/);
    caller.destroy();
});
