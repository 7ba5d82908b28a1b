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
let started: LocalFleet | undefined;

test.before(async () => {
    started = await LocalFleet.create({ manifestFile: MANIFEST, failureDomains: ["leon", "celaya", "queretaro"], standIns: [], controls: 3, bareProxies: 2 });
    fleet = started;
});

test.after.always(() => started?.kill());

function manifestWith(rate: number): string {
    return readFileSync(MANIFEST, "utf8").replace("requestsPerSecond = 300", `requestsPerSecond = ${rate}`);
}

function apply(control: ControlNode, rate: number, basedOnVersion: number, changeId: string): Promise<ApplyDecision> {
    const body = { text: manifestWith(rate), fileName: "manifest.toml", basedOnVersion, changeId };
    return callOperatorApi<ApplyDecision>({ address: control.operatorAddress, method: "POST", path: "/apply", body });
}

async function manifestVersion(): Promise<number> {
    const statuses = await Promise.all(fleet.nodes.map((node) => fleet.status(node.operatorAddress)));
    return Math.min(...statuses.map((status) => status?.configuration.manifestVersion ?? 0));
}

async function control(name: string): Promise<ControlNode> {
    const found = fleet.controls.find((candidate) => candidate.name === name);
    if (found === undefined) {
        throw new Error(`no control VM ${name}`);
    }
    return Promise.resolve(found);
}

async function leaderName(among: readonly ControlNode[]): Promise<string> {
    let name = "";
    await fleet.until("there is a leader", async () => {
        const statuses = await Promise.all(among.map((node) => fleet.askControl<ControlStatus>(node, "GET", "/control").catch(() => undefined)));
        const leaders = statuses.filter((status) => status?.identity === status?.leader).map((status) => status?.identity ?? "");
        name = leaders[0]?.split(":")[0] ?? "";
        return leaders.length === 1 && name !== "";
    });
    return name;
}

async function acceptOn(t: ExecutionContext, node: ControlNode, rate: number, basedOn: number, changeId: string): Promise<void> {
    await fleet.until(`${changeId} is accepted`, async () => {
        try {
            const decision = await apply(node, rate, basedOn, changeId);
            t.not(decision.kind, ApplyDecisionKind.Conflict);
            return true;
        }
        catch {
            return false;
        }
    });
}

test.serial("of operators who race on one version one wins and the others learn what differs", async (t) => {
    const decisions = await Promise.all(fleet.controls.map((node, index) => apply(node, 400 + index, 1, `race-${index}`)));
    const accepted = decisions.filter((decision) => decision.kind === ApplyDecisionKind.Accept);
    const conflicts = decisions.filter((decision) => decision.kind === ApplyDecisionKind.Conflict);
    t.is(accepted.length, 1);
    t.is(conflicts.length, 2);
    conflicts.forEach((conflict) => t.deepEqual([conflict.version, conflict.winner.startsWith("race-"), [...conflict.differing]], [2, true, ["fleet"]]));
    await fleet.until("the winner is in force", async () => await manifestVersion() === 2);
});

test.serial("a change sent again through another control VM has the same outcome", async (t) => {
    await apply(await control("control-1"), 500, 2, "resent");
    const again = await apply(await control("control-2"), 500, 2, "resent");
    t.is(again.kind, ApplyDecisionKind.Repeat);
    t.is(again.kind === ApplyDecisionKind.Repeat ? again.version : 0, 3);
});

test.serial("a killed leader takes nothing accepted with it, and the others go on", async (t) => {
    const leader = await control(await leaderName(fleet.controls));
    const others = fleet.controls.filter((node) => node !== leader);
    await leader.process.stop("SIGKILL");
    await leaderName(others);
    await acceptOn(t, others[0]!, 600, 3, "after-kill");
    await fleet.until("it is in force", async () => await manifestVersion() === 4);
    fleet.startControl(leader);
    await fleet.until("the killed one has caught up", async () =>
        (await fleet.status(leader.operatorAddress))?.configuration.manifestVersion === 4);
    t.pass();
});

test.serial("a frozen leader cannot accept what the others do not know of", async (t) => {
    const leader = await control(await leaderName(fleet.controls));
    const others = fleet.controls.filter((node) => node !== leader);
    leader.process.signal("SIGSTOP");
    await leaderName(others);
    await acceptOn(t, others[0]!, 700, 4, "while-frozen");
    const stale = apply(leader, 701, 4, "stale").catch(() => undefined);
    leader.process.signal("SIGCONT");
    t.not((await stale)?.kind, ApplyDecisionKind.Accept);
    await fleet.until("it is in force", async () => await manifestVersion() === 5);
});

test.serial("a VM whose disk was lost returns under a new identity, and a second VM may be lost right after the repair", async (t) => {
    const leader = await control(await leaderName(fleet.controls));
    const [lost, second] = fleet.controls.filter((node) => node !== leader) as [ControlNode, ControlNode];
    await lost.process.stop("SIGKILL");
    rmSync(lost.dataFolder, { recursive: true });
    fleet.startControl(lost);
    await fleet.until("it is back without a vote", async () => {
        const status = await fleet.askControl<ControlStatus>(leader, "GET", "/control");
        return status.others.some((identity) => identity.startsWith(lost.name)) && status.voters.length === 3;
    });
    for (const step of ["remove", "add"]) {
        await fleet.until(`control ${step}`, () =>
            fleet.askControl(leader, "POST", `/control/${step}?vm=${lost.name}`).then(() => true, () => false));
    }
    await second.process.stop("SIGKILL");
    await acceptOn(t, leader, 800, 5, "after-repair");
    await fleet.until("it is in force", async () => await manifestVersion() === 6);
});
