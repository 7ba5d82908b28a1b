import { once } from "node:events";
import { createServer, request } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { itemKey } from "../src/decisions/items/itemKey/index.js";
import { ItemKind } from "../src/decisions/items/ItemKind.js";
import { OrganisationItem } from "../src/decisions/items/OrganisationItem.js";
import { startFleet, type StartedFleet } from "./fixtures/startFleet.js";

const GRACE_MS = 6_000;
const WINDOW_MS = 5_000;
const RUN_MS = 9_000;
/** Time after which the buckets of all control VMs hold what they can, in ms. */
const FILL_MS = 2_000;
const MS_PER_SECOND = 1_000;
const STATUS_OK = 200;
const STATUS_UNAUTHORIZED = 401;
const STATUS_TOO_MANY = 429;

const CALM: OrganisationItem = { kind: ItemKind.Organisation, name: "calm", apiKeys: ["calm-key"], priority: 1, ratePerSecond: 16, burst: 16 };
const RISING: OrganisationItem = { ...CALM, name: "rising", apiKeys: ["rising-key"] };

interface CallResult {
    readonly sentAtMs: number;
    readonly status: number;
    readonly retryAfterMs: number;
}

interface Fixture extends StartedFleet {
    /** Names of the organisations of the requests that the endpoint has run. */
    readonly arrivals: string[];
    readonly call: (key: string) => Promise<CallResult>;
    /** Sends requests at a rate for some time. */
    readonly callAtRate: (key: string, perSecond: number, forMs: number) => Promise<readonly CallResult[]>;
}

async function withFleet(t: ExecutionContext, run: (fixture: Fixture) => Promise<void>): Promise<void> {
    const arrivals: string[] = [];
    const server = createServer((received, response) => {
        arrivals.push(String(received.headers.tenant));
        response.writeHead(STATUS_OK, { "Attempt-Id": String(received.headers["attempt-id"]), "Response-Signature": "s", "Content-Length": 2 });
        response.end("ok");
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const fleet = await startFleet((server.address() as AddressInfo).port, GRACE_MS, { organisations: [CALM, RISING] });
    let calls = 0;
    const call = (key: string): Promise<CallResult> => {
        calls += 1;
        return sendRequest(fleet.callerAddress, key, `${t.title.length}-${calls}`);
    };
    const callAtRate = async (key: string, perSecond: number, forMs: number): Promise<readonly CallResult[]> => {
        const results: Promise<CallResult>[] = [];
        const startedAtMs = performance.now();
        while (performance.now() < startedAtMs + forMs) {
            results.push(call(key));
            await delay(MS_PER_SECOND / perSecond);
        }
        return Promise.all(results);
    };
    try {
        await delay(FILL_MS);
        await run({ ...fleet, arrivals, call, callAtRate });
    }
    finally {
        server.close();
        await fleet.close();
    }
}

function sendRequest(address: StartedFleet["callerAddress"], key: string, id: string): Promise<CallResult> {
    const sentAtMs = performance.now();
    const headers = { "Host": "once.example", "Attempt-Id": id, "Deadline-Ms": "2500", "Authorization": `Bearer ${key}` };
    return new Promise((resolve, reject) => {
        const sent = request({ ...address, agent: false, path: "/p", headers }, (response) => {
            response.resume();
            const retryAfterMs = Number(response.headers["retry-after"]) * MS_PER_SECOND;
            response.on("end", () => resolve({ sentAtMs, status: response.statusCode ?? 0, retryAfterMs }));
        });
        sent.on("error", reject);
        sent.end();
    });
}

function boundOf({ ratePerSecond, burst }: OrganisationItem): number {
    return (ratePerSecond * WINDOW_MS / MS_PER_SECOND + burst) * 1.1 + 20;
}

function countStatus(results: readonly CallResult[], status: number): number {
    return results.filter((result) => result.status === status).length;
}

/** Highest number of admitted requests that were sent in any window. */
function highestWindow(results: readonly CallResult[]): number {
    const admitted = results.filter(({ status }) => status !== STATUS_TOO_MANY).map(({ sentAtMs }) => sentAtMs);
    return Math.max(...admitted.map((fromMs) => admitted.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length));
}

// Load: one organisation calls at eight times its usual rate of ten a second, the other at its usual one. Guards against a limit that is
// not kept over links and processes, against refusals of the organisation below its limit, and against times to return that are too early.
test.serial("an organisation above its limit gets 429 with the time to return, and one below it 200", async (t) => {
    await withFleet(t, async ({ callAtRate, call, arrivals }) => {
        const [rising, calm] = await Promise.all([callAtRate("rising-key", 80, RUN_MS), callAtRate("calm-key", 8, RUN_MS)]);
        const refused = rising.filter(({ status }) => status === STATUS_TOO_MANY);
        const admitted = countStatus(rising, STATUS_OK);
        t.log(`rising: ${admitted} of ${rising.length} admitted, ${highestWindow(rising)} of ${boundOf(RISING)} in a window; calm: ${calm.length}`);
        t.deepEqual(calm.map(({ status }) => status).filter((status) => status !== STATUS_OK), []);
        t.is(admitted + refused.length, rising.length);
        t.true(highestWindow(rising) <= boundOf(RISING));
        // Four fifths of the limit are above the usual load.
        t.true(admitted >= 0.8 * RISING.ratePerSecond * RUN_MS / MS_PER_SECOND);
        t.true(refused.every(({ retryAfterMs }) => retryAfterMs >= 50 && retryAfterMs <= 10_000));
        // A request that was answered with 429 has not run.
        t.is(arrivals.filter((name) => name === "rising").length, admitted);
        await delay(Math.min(...refused.slice(-3).map(({ retryAfterMs }) => retryAfterMs)));
        t.is((await call("rising-key")).status, STATUS_OK);
    });
});

// Guards against a lowered limit that takes effect late, and against one that is forgotten by requests that wait.
test.serial("a lowered limit is binding two seconds and a window after its acknowledgement, and a removed organisation gets 401", async (t) => {
    await withFleet(t, async ({ callAtRate, call, controls }) => {
        const lowered = { ...RISING, ratePerSecond: 2, burst: 2 };
        const key = itemKey(ItemKind.Organisation, "rising");
        const calls = callAtRate("rising-key", 40, 12_000);
        await delay(3_000);
        await controls[1]?.propose([{ key, version: 2, document: "lowered", content: lowered }]);
        const acknowledgedAtMs = performance.now();
        const later = (await calls).filter(({ sentAtMs }) => sentAtMs >= acknowledgedAtMs + 2_000);
        t.log(`${countStatus(later, STATUS_OK)} of ${later.length} admitted, ${highestWindow(later)} of ${boundOf(lowered)} in a window`);
        t.true(highestWindow(later) <= boundOf(lowered));
        await controls[2]?.propose([{ key, version: 3, document: "removed", content: undefined }]);
        await delay(2_000);
        t.is((await call("rising-key")).status, STATUS_UNAUTHORIZED);
        t.is((await call("calm-key")).status, STATUS_OK);
    });
});

// Guards against a quota that ends with the control VMs: a proxy without contact grants its part of the excess, and refuses the rest.
test.serial("without any control VM, the quota holds and the callers are answered", async (t) => {
    await withFleet(t, async ({ callAtRate, call, controls }) => {
        t.is((await call("rising-key")).status, STATUS_OK);
        await Promise.all(controls.map((control) => control.stop()));
        const results = await callAtRate("rising-key", 40, 7_000);
        t.log(`${countStatus(results, STATUS_OK)} of ${results.length} admitted, ${highestWindow(results)} in a window`);
        t.is(countStatus(results, STATUS_OK) + countStatus(results, STATUS_TOO_MANY), results.length);
        t.true(highestWindow(results) <= boundOf(RISING));
        t.true(countStatus(results, STATUS_OK) > 0);
    });
});
