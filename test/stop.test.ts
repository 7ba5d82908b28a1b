import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { findFreePorts } from "../bench/findFreePorts/index.js";
import { EventLog } from "../src/logs/EventLog/index.js";
import { parseMeshSettings } from "../src/mesh/parseMeshSettings/index.js";
import { SidecarRole } from "../src/mesh/SidecarRole/index.js";
import { PlatformDialect } from "../platform/PlatformDialect/index.js";

const GRACE_MS = 6_000;

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

test("during a graceful stop, a request whose body is still arriving gets a response before the process exits", async (t) => {
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
