import { once } from "node:events";
import { request } from "node:http";
import { type AddressInfo, createServer } from "node:net";
import test from "ava";
import { EndpointPhase } from "../src/decisions/fleet/EndpointPhase.js";
import { EndpointReport } from "../src/decisions/fleet/EndpointReport.js";
import { ReportVerdict } from "../src/decisions/fleet/ReportVerdict.js";
import { startFleet, type StartedFleet } from "./fixtures/startFleet.js";

const GRACE_MS = 1_500;
const TRUE_ID = "i-1";

interface Fixture extends StartedFleet {
    /** Values of the header field that names the caller's service, of the requests that the endpoint has run. */
    readonly callers: (string | undefined)[];
    readonly call: (id: string) => Promise<number | undefined>;
}

/** Runs a fleet in front of a backend server that rejects requests meant for another instance. */
async function withFleet(run: (fixture: Fixture) => Promise<void>): Promise<void> {
    const callers: (string | undefined)[] = [];
    const server = createServer((socket) => {
        socket.on("error", () => undefined);
        socket.on("data", (chunk: Buffer) => {
            const text = chunk.toString();
            const read = (name: string): string | undefined => new RegExp(`^${name}: (.*?)\\r$`, "im").exec(text)?.[1];
            const id = read("attempt-id") ?? "";
            if (read("expected-instance") !== TRUE_ID) {
                socket.write(`HTTP/1.1 421 X\r\nAttempt-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`);
                return;
            }
            callers.push(read("caller-service"));
            socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok`);
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const fleet = await startFleet((server.address() as AddressInfo).port, GRACE_MS);
    try {
        await run({ ...fleet, callers, call: (id) => call(fleet.callerAddress, id) });
    }
    finally {
        server.close();
        await fleet.close();
    }
}

function call(address: StartedFleet["callerAddress"], id: string): Promise<number | undefined> {
    return new Promise((resolve) => {
        const headers = { "Host": "once.example", "Attempt-Id": id, "Deadline-Ms": "2500" };
        request({ ...address, agent: false, path: "/p", headers }, (response) => {
            response.resume();
            response.on("end", () => resolve(response.statusCode));
        }).on("error", () => resolve(undefined)).end();
    });
}

function foreignReport(service: string): EndpointReport {
    return { id: "i-other", bornAtMs: Date.now(), sequence: 1, service, phase: EndpointPhase.Ready, slots: 5, coldRemainingMs: 0 };
}

// Guards against requests that run under the name of a service that does not exist.
test.serial("a report with an unknown service is refused and does not change the caller of the requests of its VM", async (t) => {
    await withFleet(async ({ entry, callers, call: send }) => {
        t.is(await send("1"), 200);
        t.is(entry.applyEndpointReport(foreignReport("not-of-this-fleet")), ReportVerdict.Refused);
        t.is(await send("2"), 200);
        t.deepEqual(callers, ["callers", "callers"]);
    });
});

// Guards against an endpoint that gets no requests for seconds, because another writer has reported itself at its address.
test.serial("an endpoint that another writer has displaced serves again after one denied request", async (t) => {
    await withFleet(async ({ gate, call: send }) => {
        t.is(await send("1"), 200);
        t.is(gate.applyEndpointReport(foreignReport("s")), ReportVerdict.Accepted);
        const startedAtMs = Date.now();
        let tries = 0;
        while (await send(`next-${tries}`) !== 200 && Date.now() < startedAtMs + 4_000) {
            tries += 1;
        }
        t.true(Date.now() - startedAtMs < 1_000, `${Date.now() - startedAtMs} ms, ${tries} denied`);
    });
});

test.serial("a restarted endpoint is taken at once, and its predecessor does not come back", async (t) => {
    await withFleet(async ({ gate, call: send }) => {
        gate.applyEndpointReport(foreignReport("s"));
        t.is(gate.applyEndpointReport({ ...foreignReport("s"), id: TRUE_ID, bornAtMs: Date.now() + 1 }), ReportVerdict.Accepted);
        t.is(await send("1"), 200);
    });
});
