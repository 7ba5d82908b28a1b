import test, { type ExecutionContext } from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { callOperatorApi } from "../src/cli/callOperatorApi/index.js";
import { EndpointStatus } from "../src/operators/EndpointStatus.js";
import { HeaderName } from "../src/http/HeaderName.js";
import { FleetNode } from "../bench/FleetNode.js";
import { LocalFleet } from "../bench/LocalFleet/index.js";
import { makeBody } from "../bench/makeBody/index.js";
import { TimedResponse } from "../bench/TimedResponse.js";
import { sendTimedRequest } from "../bench/sendTimedRequest/index.js";

const BUNDLE_BYTES = 4 * 1_024 * 1_024;
const BUNDLE_BYTES_PER_MS = 2_000;

const slowArchive = { service: "archive", serviceMs: 2, bytesPerMs: BUNDLE_BYTES_PER_MS };
const submissionsDesk = { service: "submissions-desk", serviceMs: 5, bytesPerMs: 0 };
const lookups = { service: "lookup-front", serviceMs: 2, bytesPerMs: 0 };

let fleet: LocalFleet;
let startedFleet: LocalFleet | undefined;

test.before(async () => {
    startedFleet = await LocalFleet.create({
        manifestFile: "examples/muscat/manifest.toml",
        failureDomains: ["mutrah", "ruwi", "seeb"],
        standIns: [lookups, submissionsDesk, submissionsDesk, slowArchive, slowArchive],
    });
    fleet = startedFleet;
});

test.after.always(() => startedFleet?.kill());

function findNode(endpointId: string): FleetNode {
    const found = fleet.nodes.find((candidate) => candidate.endpointId === endpointId);
    if (found === undefined) {
        throw new Error(`no node ${endpointId}`);
    }
    return found;
}

async function countRunningRequests(endpointId: string): Promise<number> {
    const found = findNode(endpointId);
    const endpoints = await callOperatorApi<readonly EndpointStatus[]>({ address: found.operatorAddress, method: "GET", path: "/endpoints" });
    return endpoints.find((endpoint) => endpoint.endpointId === endpointId)?.running ?? 0;
}

function submit(entry: FleetNode, workId: string, headers: Record<string, string> = {}): Promise<TimedResponse> {
    return sendTimedRequest({
        address: entry.callerAddress,
        method: "POST",
        path: "/submissions",
        headers: { "x-work-id": workId, ...headers },
        body: `correction ${workId}`,
    });
}

async function countExecutions(workId: string): Promise<number> {
    const counts = await Promise.all(fleet.nodes.map(async (candidate) => {
        const response = await sendTimedRequest({ address: candidate.standInAddress, method: "GET", path: "/stand-in/executions" });
        return (JSON.parse(response.body.toString()) as Record<string, number>)[workId] ?? 0;
    }));
    return counts.reduce((sum, count) => sum + count, 0);
}

interface Submission {
    readonly workId: string;
    readonly response: TimedResponse;
}

async function checkOutcomes(t: ExecutionContext, submissions: readonly Submission[]): Promise<void> {
    for (const { workId, response } of submissions) {
        const count = await countExecutions(workId);
        t.true(count <= 1, `${workId} ran ${count} times`);
        t.true(response.headers[HeaderName.Outcome] !== "not-run" || count === 0, `${workId} was reported as not-run`);
    }
}

test.serial("every proxy returns complete responses from every service, whichever VM the endpoint is on", async (t) => {
    for (const entry of fleet.nodes) {
        const response = await sendTimedRequest({ address: entry.callerAddress, method: "GET", path: "/lookup/kitab" });
        t.is(response.status, 200);
        t.is(response.headers[HeaderName.Outcome], "ran");
        t.true(response.body.equals(makeBody("/lookup/kitab", 512)));
        t.is((await submit(entry, `plain-${entry.name}`)).status, 201);
        t.is(await countExecutions(`plain-${entry.name}`), 1);
    }
});

test.serial("a request that matches no route gets outcome not-run", async (t) => {
    const response = await sendTimedRequest({ address: findNode("lookup-front-vm-1").callerAddress, method: "GET", path: "/nowhere" });
    t.is(response.status, 404);
    t.is(response.headers[HeaderName.Outcome], "not-run");
});

test.serial("concurrent requests with one idempotency key at two entries run once, and a resend gets the same response", async (t) => {
    await fleet.waitUntil("the witness roster is in force", async () => {
        const probe = await submit(findNode("lookup-front-vm-1"), "roster-probe", { "idempotency-key": "roster-probe" });
        return probe.status === 201;
    });
    const keyedHeaders = { "idempotency-key": "correction-7", "x-work-ms": "200" };
    const [first, second] = await Promise.all([
        submit(findNode("lookup-front-vm-1"), "keyed-7", keyedHeaders),
        submit(findNode("archive-vm-4"), "keyed-7", keyedHeaders),
    ]);
    const resend = await submit(findNode("archive-vm-5"), "keyed-7", keyedHeaders);
    t.is(await countExecutions("keyed-7"), 1);
    t.is(resend.status, 201);
    const succeeded = [first, second].filter((response) => response.status === 201);
    t.true(succeeded.length >= 1);
    succeeded.forEach((response) => t.true(response.body.equals(resend.body)));
});

test.serial("a different body with the same idempotency key is refused", async (t) => {
    const keyHeader = { "idempotency-key": "correction-8" };
    await submit(findNode("lookup-front-vm-1"), "keyed-8", keyHeader);
    const conflicting = await sendTimedRequest({
        address: findNode("archive-vm-4").callerAddress,
        method: "POST",
        path: "/submissions",
        headers: { "x-work-id": "keyed-8-other", ...keyHeader },
        body: "another correction",
    });
    t.is(conflicting.status, 422);
    t.is(await countExecutions("keyed-8-other"), 0);
});

test.serial("a graceful stop of a proxy lets a download through it complete, and the process exits with code 0", async (t) => {
    const entry = findNode("archive-vm-4");
    const download = sendTimedRequest({ address: entry.callerAddress, method: "GET", path: `/archive/bundle-1?bytes=${BUNDLE_BYTES}` });
    await delay(300);
    const exitCode = entry.proxy.stop();
    t.true((await download).body.equals(makeBody("/archive/bundle-1", BUNDLE_BYTES)));
    t.is(await exitCode, 0);
    fleet.startProxy(entry);
    await fleet.waitUntilReady(5);
});

test.serial("a graceful stop of a backend server does not cut off downloads in flight", async (t) => {
    const downloads = Array.from({ length: 4 }, (_, index) => sendTimedRequest({
        address: findNode("lookup-front-vm-1").callerAddress,
        method: "GET",
        path: `/archive/bundle-${index}?bytes=${BUNDLE_BYTES}`,
    }));
    await delay(300);
    const stopped = findNode("archive-vm-5");
    t.is(await stopped.standIn.stop(), 0);
    for (const [index, download] of (await Promise.all(downloads)).entries()) {
        t.true(download.body.equals(makeBody(`/archive/bundle-${index}`, BUNDLE_BYTES)));
    }
    fleet.startStandIn(stopped);
    await fleet.waitUntilReady(5);
});

test.serial("killing a proxy never makes a submission run twice, and one reported as not-run never runs", async (t) => {
    const entry = findNode("lookup-front-vm-1");
    const gate = findNode("submissions-desk-vm-2");
    const submissions = Array.from({ length: 30 }, async (_, index) => {
        await delay(index * 20);
        return { workId: `killed-${index}`, response: await submit(entry, `killed-${index}`, { "x-work-ms": "50" }) };
    });
    await delay(300);
    await gate.proxy.stop("SIGKILL");
    await checkOutcomes(t, await Promise.all(submissions));
    fleet.startProxy(gate);
    await fleet.waitUntilReady(5);
});

test.serial("freezing a gate never makes a submission run twice, and one reported as not-run never runs", async (t) => {
    const entry = findNode("lookup-front-vm-1");
    const gate = findNode("submissions-desk-vm-2");
    const submissions = Array.from({ length: 20 }, async (_, index) => {
        await delay(index * 20);
        return { workId: `frozen-${index}`, response: await submit(entry, `frozen-${index}`, { "gypsumpulley-timeout-ms": "1500" }) };
    });
    await delay(100);
    gate.proxy.sendSignal("SIGSTOP");
    await delay(2_500);
    gate.proxy.sendSignal("SIGCONT");
    const results = await Promise.all(submissions);
    await delay(500);
    await checkOutcomes(t, results);
    await fleet.waitUntilReady(5);
});

test.serial("a download resumes at another backend server when the first one is killed", async (t) => {
    const download = sendTimedRequest({
        address: findNode("lookup-front-vm-1").callerAddress,
        method: "GET",
        path: `/archive/bundle-9?bytes=${BUNDLE_BYTES}`,
    });
    await delay(500);
    const endpointLoads = await Promise.all(["archive-vm-4", "archive-vm-5"].map(async (endpointId) => ({ endpointId, running: await countRunningRequests(endpointId) })));
    const serving = findNode(endpointLoads.find((load) => load.running > 0)?.endpointId ?? "");
    await serving.standIn.stop("SIGKILL");
    t.true((await download).body.equals(makeBody("/archive/bundle-9", BUNDLE_BYTES)));
    fleet.startStandIn(serving);
    await fleet.waitUntilReady(5);
});

test.serial("a truncated or corrupted response is never delivered as complete", async (t) => {
    const { callerAddress } = findNode("lookup-front-vm-1");
    await t.throwsAsync(sendTimedRequest({ address: callerAddress, method: "GET", path: `/archive/cut?bytes=${BUNDLE_BYTES}&fault=truncate` }));
    await t.throwsAsync(sendTimedRequest({ address: callerAddress, method: "GET", path: `/archive/bad?bytes=${BUNDLE_BYTES}&fault=corrupt` }));
    const small = await sendTimedRequest({ address: callerAddress, method: "GET", path: "/lookup/bad?fault=corrupt" });
    t.not(small.status, 200);
});

test.serial("a request that crashes its backend servers is refused everywhere after two of them", async (t) => {
    const crash = { method: "GET" as const, path: "/archive/poison?fault=crash" };
    const archives = ["archive-vm-4", "archive-vm-5"].map(findNode);
    const lostPerSend: number[] = [];
    // The first send crashes both backend servers if the retry budget allows a retry, and one if earlier tests have used it up.
    while (lostPerSend.reduce((sum, lost) => sum + lost, 0) < 2 && lostPerSend.length < 2) {
        const response = await sendTimedRequest({ ...crash, address: findNode("lookup-front-vm-1").callerAddress });
        t.is(response.headers[HeaderName.Outcome], "unknown");
        await fleet.waitUntil("a backend server has exited", () => Promise.resolve(archives.some(({ standIn }) => !standIn.isRunning)));
        const lost = archives.filter(({ standIn }) => !standIn.isRunning);
        lostPerSend.push(lost.length);
        for (const archive of archives) {
            await archive.standIn.stop();
            fleet.startStandIn(archive);
        }
        await fleet.waitUntilReady(5);
    }
    t.is(lostPerSend.reduce((sum, lost) => sum + lost, 0), 2, `backend servers lost per send: ${lostPerSend.join(", ")}`);
    for (const entry of fleet.nodes) {
        const again = await sendTimedRequest({ ...crash, address: entry.callerAddress });
        if (again.headers[HeaderName.Outcome] !== "not-run") {
            t.log(`backend servers lost per send: ${lostPerSend.join(", ")}; response of ${entry.name}`, again.headers, fleet.recentOutput());
        }
        t.is(again.headers[HeaderName.Outcome], "not-run");
        t.is(again.headers[HeaderName.Reason], "quarantined");
    }
    t.true(archives.every(({ standIn }) => standIn.isRunning));
    t.log(`backend servers lost per send: ${lostPerSend.join(", ")}`);
    await fleet.waitUntil("other requests are served", async () => {
        const response = await sendTimedRequest({ address: findNode("lookup-front-vm-1").callerAddress, method: "GET", path: "/archive/fine" });
        return response.status === 200;
    });
});

test.serial("requests are served while control is down, and control still has the manifest after a restart", async (t) => {
    const [control] = fleet.controls;
    await control?.process.stop("SIGKILL");
    const response = await sendTimedRequest({ address: findNode("archive-vm-4").callerAddress, method: "GET", path: "/lookup/qalam" });
    t.is(response.status, 200);
    t.is((await submit(findNode("archive-vm-4"), "no-control", { "idempotency-key": "no-control" })).status, 201);
    if (control !== undefined) {
        fleet.startControl(control);
    }
    await fleet.waitUntil("control has the manifest", async () => (await fleet.fetchStatus(fleet.controlOperatorAddress))?.configuration.manifestVersion === 1);
    t.is(await fleet.applyManifest("examples/muscat/manifest.toml"), 2);
});
