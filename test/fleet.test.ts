import test, { type ExecutionContext } from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { callOperatorApi } from "../src/cli/callOperatorApi/index.js";
import { EndpointStatus } from "../src/operators/EndpointStatus.js";
import { HeaderName } from "../src/http/HeaderName.js";
import { FleetNode } from "../bench/FleetNode.js";
import { LocalFleet } from "../bench/LocalFleet/index.js";
import { makeBody } from "../bench/makeBody/index.js";
import { TimedAnswer } from "../bench/TimedAnswer.js";
import { timeRequest } from "../bench/timeRequest/index.js";

const BUNDLE_BYTES = 4 * 1_024 * 1_024;
const BUNDLE_BYTES_PER_MS = 2_000;

const slowArchive = { service: "archive", serviceMs: 2, bytesPerMs: BUNDLE_BYTES_PER_MS };
const desk = { service: "submissions-desk", serviceMs: 5, bytesPerMs: 0 };
const lookups = { service: "lookup-front", serviceMs: 2, bytesPerMs: 0 };

let fleet: LocalFleet;
let started: LocalFleet | undefined;

test.before(async () => {
    started = await LocalFleet.create({
        manifestFile: "examples/muscat/manifest.toml",
        failureDomains: ["mutrah", "ruwi", "seeb"],
        standIns: [lookups, desk, desk, slowArchive, slowArchive],
    });
    fleet = started;
});

test.after.always(() => started?.kill());

function node(endpointId: string): FleetNode {
    const found = fleet.nodes.find((candidate) => candidate.endpointId === endpointId);
    if (found === undefined) {
        throw new Error(`no node ${endpointId}`);
    }
    return found;
}

async function runningAt(endpointId: string): Promise<number> {
    const found = node(endpointId);
    const endpoints = await callOperatorApi<readonly EndpointStatus[]>({ address: found.operatorAddress, method: "GET", path: "/endpoints" });
    return endpoints.find((endpoint) => endpoint.endpointId === endpointId)?.running ?? 0;
}

function submit(entry: FleetNode, workId: string, headers: Record<string, string> = {}): Promise<TimedAnswer> {
    return timeRequest({
        address: entry.callerAddress,
        method: "POST",
        path: "/submissions",
        headers: { "x-work-id": workId, ...headers },
        body: `correction ${workId}`,
    });
}

async function executions(workId: string): Promise<number> {
    const counts = await Promise.all(fleet.nodes.map(async (candidate) => {
        const answer = await timeRequest({ address: candidate.standInAddress, method: "GET", path: "/stand-in/executions" });
        return (JSON.parse(answer.body.toString()) as Record<string, number>)[workId] ?? 0;
    }));
    return counts.reduce((sum, count) => sum + count, 0);
}

interface Submission {
    readonly workId: string;
    readonly answer: TimedAnswer;
}

async function checkTruthful(t: ExecutionContext, submissions: readonly Submission[]): Promise<void> {
    for (const { workId, answer } of submissions) {
        const count = await executions(workId);
        t.true(count <= 1, `${workId} ran ${count} times`);
        t.true(answer.headers[HeaderName.Outcome] !== "not-run" || count === 0, `${workId} was answered not-run`);
    }
}

test.serial("every proxy serves every service whole, whichever VM its endpoint is on", async (t) => {
    for (const entry of fleet.nodes) {
        const answer = await timeRequest({ address: entry.callerAddress, method: "GET", path: "/lookup/kitab" });
        t.is(answer.status, 200);
        t.is(answer.headers[HeaderName.Outcome], "ran");
        t.true(answer.body.equals(makeBody("/lookup/kitab", 512)));
        t.is((await submit(entry, `plain-${entry.name}`)).status, 201);
        t.is(await executions(`plain-${entry.name}`), 1);
    }
});

test.serial("a request without a route is answered not-run", async (t) => {
    const answer = await timeRequest({ address: node("lookup-front-vm-1").callerAddress, method: "GET", path: "/nowhere" });
    t.is(answer.status, 404);
    t.is(answer.headers[HeaderName.Outcome], "not-run");
});

test.serial("one idempotency key at two entries at once runs once, and a resend gets the same answer", async (t) => {
    await fleet.until("the witnesses are in force", async () => {
        const probe = await submit(node("lookup-front-vm-1"), "roster-probe", { "idempotency-key": "roster-probe" });
        return probe.status === 201;
    });
    const keyed = { "idempotency-key": "correction-7", "x-work-ms": "200" };
    const [first, second] = await Promise.all([
        submit(node("lookup-front-vm-1"), "keyed-7", keyed),
        submit(node("archive-vm-4"), "keyed-7", keyed),
    ]);
    const resend = await submit(node("archive-vm-5"), "keyed-7", keyed);
    t.is(await executions("keyed-7"), 1);
    t.is(resend.status, 201);
    const answered = [first, second].filter((answer) => answer.status === 201);
    t.true(answered.length >= 1);
    answered.forEach((answer) => t.true(answer.body.equals(resend.body)));
});

test.serial("another body under the same idempotency key is refused", async (t) => {
    const key = { "idempotency-key": "correction-8" };
    await submit(node("lookup-front-vm-1"), "keyed-8", key);
    const other = await timeRequest({
        address: node("archive-vm-4").callerAddress,
        method: "POST",
        path: "/submissions",
        headers: { "x-work-id": "keyed-8-other", ...key },
        body: "another correction",
    });
    t.is(other.status, 422);
    t.is(await executions("keyed-8-other"), 0);
});

test.serial("a planned stop of a proxy lets a download through it end whole, and the process exits with 0", async (t) => {
    const entry = node("archive-vm-4");
    const download = timeRequest({ address: entry.callerAddress, method: "GET", path: `/archive/bundle-1?bytes=${BUNDLE_BYTES}` });
    await delay(300);
    const exit = entry.proxy.stop();
    t.true((await download).body.equals(makeBody("/archive/bundle-1", BUNDLE_BYTES)));
    t.is(await exit, 0);
    fleet.startProxy(entry);
    await fleet.ready(5);
});

test.serial("a planned stop of a backend server cuts no download in flight", async (t) => {
    const downloads = Array.from({ length: 4 }, (_, index) => timeRequest({
        address: node("lookup-front-vm-1").callerAddress,
        method: "GET",
        path: `/archive/bundle-${index}?bytes=${BUNDLE_BYTES}`,
    }));
    await delay(300);
    const leaving = node("archive-vm-5");
    t.is(await leaving.standIn.stop(), 0);
    for (const [index, download] of (await Promise.all(downloads)).entries()) {
        t.true(download.body.equals(makeBody(`/archive/bundle-${index}`, BUNDLE_BYTES)));
    }
    fleet.startStandIn(leaving);
    await fleet.ready(5);
});

test.serial("killed proxies never make a submission run twice, nor one run that was answered not-run", async (t) => {
    const entry = node("lookup-front-vm-1");
    const gate = node("submissions-desk-vm-2");
    const submissions = Array.from({ length: 30 }, async (_, index) => {
        await delay(index * 20);
        return { workId: `killed-${index}`, answer: await submit(entry, `killed-${index}`, { "x-work-ms": "50" }) };
    });
    await delay(300);
    await gate.proxy.stop("SIGKILL");
    await checkTruthful(t, await Promise.all(submissions));
    fleet.startProxy(gate);
    await fleet.ready(5);
});

test.serial("a frozen gate makes no submission run twice, nor one run that was answered not-run", async (t) => {
    const entry = node("lookup-front-vm-1");
    const gate = node("submissions-desk-vm-2");
    const submissions = Array.from({ length: 20 }, async (_, index) => {
        await delay(index * 20);
        return { workId: `frozen-${index}`, answer: await submit(entry, `frozen-${index}`, { "gypsumpulley-timeout-ms": "1500" }) };
    });
    await delay(100);
    gate.proxy.signal("SIGSTOP");
    await delay(2_500);
    gate.proxy.signal("SIGCONT");
    const results = await Promise.all(submissions);
    await delay(500);
    await checkTruthful(t, results);
    await fleet.ready(5);
});

test.serial("a download is resumed at another backend server when the first one is killed", async (t) => {
    const download = timeRequest({
        address: node("lookup-front-vm-1").callerAddress,
        method: "GET",
        path: `/archive/bundle-9?bytes=${BUNDLE_BYTES}`,
    });
    await delay(500);
    const loads = await Promise.all(["archive-vm-4", "archive-vm-5"].map(async (endpointId) => ({ endpointId, running: await runningAt(endpointId) })));
    const serving = node(loads.find((load) => load.running > 0)?.endpointId ?? "");
    await serving.standIn.stop("SIGKILL");
    t.true((await download).body.equals(makeBody("/archive/bundle-9", BUNDLE_BYTES)));
    fleet.startStandIn(serving);
    await fleet.ready(5);
});

test.serial("an answer cut short or damaged never ends cleanly", async (t) => {
    const { callerAddress } = node("lookup-front-vm-1");
    await t.throwsAsync(timeRequest({ address: callerAddress, method: "GET", path: `/archive/cut?bytes=${BUNDLE_BYTES}&fault=truncate` }));
    await t.throwsAsync(timeRequest({ address: callerAddress, method: "GET", path: `/archive/bad?bytes=${BUNDLE_BYTES}&fault=corrupt` }));
    const small = await timeRequest({ address: callerAddress, method: "GET", path: "/lookup/bad?fault=corrupt" });
    t.not(small.status, 200);
});

test.serial("a request that crashes its backend servers is refused everywhere after two of them", async (t) => {
    const crash = { method: "GET" as const, path: "/archive/poison?fault=crash" };
    const archives = ["archive-vm-4", "archive-vm-5"].map(node);
    const lostBySend: number[] = [];
    // The first send takes both backend servers if the retry budget allows a retry, and one if earlier tests have used it up.
    while (lostBySend.reduce((sum, lost) => sum + lost, 0) < 2 && lostBySend.length < 2) {
        const answer = await timeRequest({ ...crash, address: node("lookup-front-vm-1").callerAddress });
        t.is(answer.headers[HeaderName.Outcome], "unknown");
        await fleet.until("a backend server has ended", () => Promise.resolve(archives.some(({ standIn }) => !standIn.isRunning)));
        const lost = archives.filter(({ standIn }) => !standIn.isRunning);
        lostBySend.push(lost.length);
        for (const archive of archives) {
            await archive.standIn.stop();
            fleet.startStandIn(archive);
        }
        await fleet.ready(5);
    }
    t.is(lostBySend.reduce((sum, lost) => sum + lost, 0), 2, `lost by each send: ${lostBySend.join(", ")}`);
    for (const entry of fleet.nodes) {
        const again = await timeRequest({ ...crash, address: entry.callerAddress });
        if (again.headers[HeaderName.Outcome] !== "not-run") {
            t.log(`lost by each send: ${lostBySend.join(", ")}; answer of ${entry.name}`, again.headers, fleet.outputs());
        }
        t.is(again.headers[HeaderName.Outcome], "not-run");
        t.is(again.headers[HeaderName.Reason], "quarantined");
    }
    t.true(archives.every(({ standIn }) => standIn.isRunning));
    t.log(`backend servers lost by each send: ${lostBySend.join(", ")}`);
    await fleet.until("other requests are served", async () => {
        const other = await timeRequest({ address: node("lookup-front-vm-1").callerAddress, method: "GET", path: "/archive/fine" });
        return other.status === 200;
    });
});

test.serial("requests are served while control is down, and control comes back with the manifest", async (t) => {
    const [control] = fleet.controls;
    await control?.process.stop("SIGKILL");
    const answer = await timeRequest({ address: node("archive-vm-4").callerAddress, method: "GET", path: "/lookup/qalam" });
    t.is(answer.status, 200);
    t.is((await submit(node("archive-vm-4"), "no-control", { "idempotency-key": "no-control" })).status, 201);
    if (control !== undefined) {
        fleet.startControl(control);
    }
    await fleet.until("control has the manifest", async () => (await fleet.status(fleet.controlOperator))?.configuration.manifestVersion === 1);
    t.is(await fleet.apply("examples/muscat/manifest.toml"), 2);
});
