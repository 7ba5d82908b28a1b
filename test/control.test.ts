import { readFileSync, rmSync } from "node:fs";
import test, { type ExecutionContext } from "ava";
import { ControlNode } from "../bench/ControlNode.js";
import { LocalFleet } from "../bench/LocalFleet/index.js";
import { callOperatorApi } from "../src/cli/callOperatorApi/index.js";
import { ApplyDecision } from "../src/decisions/configuration/ApplyDecision.js";
import { ApplyDecisionKind } from "../src/decisions/configuration/ApplyDecisionKind.js";
import { ControlStatus } from "../src/operators/ControlStatus.js";

const MANIFEST = "examples/bajio/manifest.toml";

let fleet: LocalFleet;
let startedFleet: LocalFleet | undefined;

test.before(async () => {
    startedFleet = await LocalFleet.create({ manifestFile: MANIFEST, failureDomains: ["leon", "celaya", "queretaro"], standIns: [], controlCount: 3, bareProxyCount: 2 });
    fleet = startedFleet;
});

test.after.always(() => startedFleet?.kill());

function createManifest(rate: number): string {
    return readFileSync(MANIFEST, "utf8").replace("requestsPerSecond = 300", `requestsPerSecond = ${rate}`);
}

function applyManifest(control: ControlNode, rate: number, basedOnVersion: number, changeId: string): Promise<ApplyDecision> {
    const body = { text: createManifest(rate), fileName: "manifest.toml", basedOnVersion, changeId };
    return callOperatorApi<ApplyDecision>({ address: control.operatorAddress, method: "POST", path: "/apply", body });
}

async function lowestManifestVersion(): Promise<number> {
    const statuses = await Promise.all(fleet.nodes.map((node) => fleet.fetchStatus(node.operatorAddress)));
    return Math.min(...statuses.map((status) => status?.configuration.manifestVersion ?? 0));
}

async function findControl(name: string): Promise<ControlNode> {
    const found = fleet.controls.find((candidate) => candidate.name === name);
    if (found === undefined) {
        throw new Error(`no control VM ${name}`);
    }
    return Promise.resolve(found);
}

async function waitForLeader(controls: readonly ControlNode[]): Promise<string> {
    let leaderName = "";
    await fleet.waitUntil("exactly one leader exists", async () => {
        const statuses = await Promise.all(controls.map((node) => fleet.callControl<ControlStatus>(node, "GET", "/control").catch(() => undefined)));
        const leaders = statuses.filter((status) => status?.identity === status?.leader).map((status) => status?.identity ?? "");
        leaderName = leaders[0]?.split(":")[0] ?? "";
        return leaders.length === 1 && leaderName !== "";
    });
    return leaderName;
}

async function applyUntilAccepted(t: ExecutionContext, node: ControlNode, rate: number, basedOnVersion: number, changeId: string): Promise<void> {
    await fleet.waitUntil(`${changeId} is accepted`, async () => {
        try {
            const decision = await applyManifest(node, rate, basedOnVersion, changeId);
            t.not(decision.kind, ApplyDecisionKind.Conflict);
            return true;
        }
        catch {
            return false;
        }
    });
}

test.serial("only one of several concurrent changes to a version is accepted, and the others get a conflict that names the differing parts", async (t) => {
    const decisions = await Promise.all(fleet.controls.map((node, index) => applyManifest(node, 400 + index, 1, `race-${index}`)));
    const accepted = decisions.filter((decision) => decision.kind === ApplyDecisionKind.Accept);
    const conflicts = decisions.filter((decision) => decision.kind === ApplyDecisionKind.Conflict);
    t.is(accepted.length, 1);
    t.is(conflicts.length, 2);
    conflicts.forEach((conflict) => t.deepEqual([conflict.version, conflict.winner.startsWith("race-"), [...conflict.differing]], [2, true, ["fleet"]]));
    await fleet.waitUntil("the accepted change is in force", async () => await lowestManifestVersion() === 2);
});

test.serial("a change resent through another control VM is recognized as a repeat", async (t) => {
    await applyManifest(await findControl("control-1"), 500, 2, "resent");
    const resent = await applyManifest(await findControl("control-2"), 500, 2, "resent");
    t.is(resent.kind, ApplyDecisionKind.Repeat);
    t.is(resent.kind === ApplyDecisionKind.Repeat ? resent.version : 0, 3);
});

test.serial("killing the leader loses no accepted change, and the other control VMs continue to accept changes", async (t) => {
    const leader = await findControl(await waitForLeader(fleet.controls));
    const others = fleet.controls.filter((node) => node !== leader);
    await leader.process.stop("SIGKILL");
    await waitForLeader(others);
    await applyUntilAccepted(t, others[0]!, 600, 3, "after-kill");
    await fleet.waitUntil("the change is in force", async () => await lowestManifestVersion() === 4);
    fleet.startControl(leader);
    await fleet.waitUntil("the killed control VM has caught up", async () =>
        (await fleet.fetchStatus(leader.operatorAddress))?.configuration.manifestVersion === 4);
    t.pass();
});

test.serial("a leader that was frozen and replaced cannot accept a change", async (t) => {
    const leader = await findControl(await waitForLeader(fleet.controls));
    const others = fleet.controls.filter((node) => node !== leader);
    leader.process.sendSignal("SIGSTOP");
    await waitForLeader(others);
    await applyUntilAccepted(t, others[0]!, 700, 4, "while-frozen");
    const stale = applyManifest(leader, 701, 4, "stale").catch(() => undefined);
    leader.process.sendSignal("SIGCONT");
    t.not((await stale)?.kind, ApplyDecisionKind.Accept);
    await fleet.waitUntil("the change is in force", async () => await lowestManifestVersion() === 5);
});

test.serial("a control VM that lost its disk rejoins under a new identity, and another one may fail right after the repair", async (t) => {
    const leader = await findControl(await waitForLeader(fleet.controls));
    const [lost, second] = fleet.controls.filter((node) => node !== leader) as [ControlNode, ControlNode];
    await lost.process.stop("SIGKILL");
    rmSync(lost.dataFolder, { recursive: true });
    fleet.startControl(lost);
    await fleet.waitUntil("the control VM is back as a non-voter", async () => {
        const status = await fleet.callControl<ControlStatus>(leader, "GET", "/control");
        return status.others.some((identity) => identity.startsWith(lost.name)) && status.voters.length === 3;
    });
    for (const step of ["remove", "add"]) {
        await fleet.waitUntil(`control ${step} succeeds`, () =>
            fleet.callControl(leader, "POST", `/control/${step}?vm=${lost.name}`).then(() => true, () => false));
    }
    await second.process.stop("SIGKILL");
    await applyUntilAccepted(t, leader, 800, 5, "after-repair");
    await fleet.waitUntil("the change is in force", async () => await lowestManifestVersion() === 6);
});
