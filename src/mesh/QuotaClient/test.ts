import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { nowMs } from "../../clock/nowMs/index.js";
import { ItemKind } from "../../decisions/items/ItemKind.js";
import { OrganisationItem } from "../../decisions/items/OrganisationItem.js";
import { QuotaDecision } from "../../decisions/quotas/QuotaDecision.js";
import { QuotaDecisionKind } from "../../decisions/quotas/QuotaDecisionKind.js";
import { Message } from "../../links/Message.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { ProxyMessage } from "../../tunnel/ProxyMessage.js";
import { ProxyMessageKind } from "../../tunnel/ProxyMessageKind.js";
import { QuotaClient } from "./index.js";

const ORGANISATION: OrganisationItem = { kind: ItemKind.Organisation, name: "org-1", apiKeys: [], priority: 0, ratePerSecond: 10, burst: 10 };
const DEADLINE_MS = 3_000;
/** Time in which a request is decided without any reply, in ms, with room for a busy machine. */
const DECIDED_MS = 1_500;
/** Longer than a request waits for its token. */
const BLOCKED_MS = 600;

interface Fixture {
    readonly client: QuotaClient;
    readonly events: EventLog;
    readonly sent: [string, Message][];
    readonly decisions: QuotaDecision[];
    readonly acquire: () => void;
}

function create(isLinked: (vm: string) => boolean = () => true): Fixture {
    const sent: [string, Message][] = [];
    const decisions: QuotaDecision[] = [];
    const events = EventLog.create("vm-1", undefined);
    const controls = ["c-1", "c-2"].map((vm) => ({ vm, failureDomain: "a" }));
    const client = QuotaClient.create(
        { vm: "vm-1", failureDomain: "a", terms: { windowMs: 5_000, overshoot: 0.1, slack: 20 }, random: () => 0.9 },
        {
            view: () => ({ controls: controls.filter(({ vm }) => isLinked(vm)), proxyCount: 100 }),
            send: (vm, message) => {
                sent.push([vm, message]);
                return isLinked(vm);
            },
            proxies: () => [],
            sendToProxy: () => false,
        },
        events,
    );
    const acquire = (): void => client.acquire(ORGANISATION, nowMs() + DEADLINE_MS, (decision) => decisions.push(decision));
    return { client, events, sent, decisions, acquire };
}

test.serial("a token that a control VM grants decides on a request", (t) => {
    const { client, sent, decisions, acquire } = create();
    acquire();
    t.is(sent.length, 1);
    client.handleGrants(sent[0]?.[0] ?? "", 1, [{ organisation: "org-1", count: 1, waitMs: 0 }]);
    t.deepEqual(decisions.map(({ kind }) => kind), [QuotaDecisionKind.Granted]);
    t.deepEqual(client.gauges.map(({ read }) => read()), [0, 0, 0, 0]);
    client.close();
});

// Guards against a request that hangs: control VMs that are paused reply to nothing, and no other event comes.
test.serial("a request is decided although no control VM replies", async (t) => {
    const { client, sent, decisions, acquire } = create();
    acquire();
    await delay(DECIDED_MS);
    t.deepEqual(sent.map(([vm]) => vm).sort(), ["c-1", "c-2"]);
    t.deepEqual(decisions.map(({ kind }) => kind), [QuotaDecisionKind.Refused]);
    client.close();
});

// Guards against refusals below the limit: a process that does not run for a time reads replies late.
test.serial("a control VM does not count as silent because the process did not run", async (t) => {
    const { client, sent, decisions, acquire } = create();
    acquire();
    const blockedUntilMs = nowMs() + BLOCKED_MS;
    while (nowMs() < blockedUntilMs) {
        // Keeps the process busy.
    }
    await delay(1);
    t.is(sent.length, 1);
    client.handleGrants(sent[0]?.[0] ?? "", 1, [{ organisation: "org-1", count: 1, waitMs: 0 }]);
    await delay(1);
    t.is(client.gauges.find(({ name }) => name === "quota_waiting")?.read(), 0);
    t.is(decisions.length, 1);
    client.close();
});

test.serial("a control VM whose link closes while it is asked is replaced by the next one", (t) => {
    let lost = "";
    const { client, sent, acquire } = create((vm) => vm !== lost);
    acquire();
    lost = sent[0]?.[0] ?? "";
    client.handleLinkClose(lost);
    t.deepEqual(sent.map(([vm]) => vm).sort(), ["c-1", "c-2"]);
    client.close();
});

// Guards against a process of another version that replies with something else.
test.serial("malformed grants are skipped", (t) => {
    const { client, sent, decisions, acquire } = create();
    acquire();
    const grants = [undefined, "org-1", {}, { organisation: "org-1" }, { organisation: "org-1", count: -1, waitMs: 0 }, { organisation: "org-1", count: 1, waitMs: Number.NaN }];
    client.handleGrants(sent[0]?.[0] ?? "", 1, grants);
    t.is(decisions.length, 0);
    client.close();
});

test.serial("the start of refusals and the loss of contact are logged once", (t) => {
    const { client, events, decisions, acquire } = create(() => false);
    [1, 2, 3].forEach(acquire);
    t.is(decisions.length, 3);
    t.deepEqual(events.find("vm-1").map(({ event }) => event), [EventNumber.QuotaContactLost, EventNumber.QuotaExceeded]);
    client.close();
});

// Guards against a cost for deployments without organisations.
test.serial("without organisations no message is sent, no timer is set and nothing is logged", (t) => {
    const countTimers = (): number => process.getActiveResourcesInfo().filter((resource) => resource === "Timeout").length;
    const timers = countTimers();
    const { client, events, sent } = create();
    client.setItems([]);
    client.handleLinkClose("c-1");
    t.deepEqual([sent, events.find("vm-1"), countTimers()], [[], [], timers]);
    client.close();
});

// Load: a proxy that is cut off from all control VMs, but not from other proxies.
test.serial("without a link, another proxy is found that passes the ask on", (t) => {
    const sent: [string, ProxyMessage][] = [];
    const decisions: QuotaDecision[] = [];
    const client = QuotaClient.create(
        { vm: "vm-1", failureDomain: "a", terms: { windowMs: 5_000, overshoot: 0.1, slack: 20 }, random: () => 0.9 },
        {
            view: () => ({ controls: [], proxyCount: 3 }),
            send: () => false,
            proxies: () => ["p-1", "p-2"],
            sendToProxy: (vm, message) => {
                sent.push([vm, message]);
                return true;
            },
        },
        EventLog.create("vm-1", undefined),
    );
    client.acquire(ORGANISATION, nowMs() + DEADLINE_MS, (decision) => decisions.push(decision));
    t.deepEqual(sent.splice(0), ["p-1", "p-2"].map((vm) => [vm, { kind: ProxyMessageKind.RelayQuery }]));
    client.handleProxyMessage("p-1", { kind: ProxyMessageKind.RelayStatement, controls: [], relays: ["p-3"] });
    client.handleProxyMessage("p-2", { kind: ProxyMessageKind.RelayStatement, controls: [{ vm: "c-1", failureDomain: "b" }], relays: [] });
    const asks = [{ organisation: "org-1", count: 1 }];
    t.deepEqual(sent.shift(), ["p-3", { kind: ProxyMessageKind.RelayQuery }]);
    t.deepEqual(sent, [["p-2", { kind: ProxyMessageKind.RelayedAsk, controlVm: "c-1", id: 1, asks }]]);
    const grants = [{ organisation: "org-1", count: 1, waitMs: 0 }];
    client.handleProxyMessage("p-2", { kind: ProxyMessageKind.RelayedGrant, controlVm: "c-1", id: 1, grants });
    t.deepEqual(decisions.map(({ kind }) => kind), [QuotaDecisionKind.Granted]);
    client.close();
});

// Guards against requests that hang or a process that spins while no proxy replies.
test.serial("a request is decided although no proxy states that it reaches a control VM", async (t) => {
    const decisions: QuotaDecision[] = [];
    let queries = 0;
    const client = QuotaClient.create(
        { vm: "vm-1", failureDomain: "a", terms: { windowMs: 5_000, overshoot: 0.1, slack: 20 }, random: () => 0.9 },
        {
            view: () => ({ controls: [], proxyCount: 3 }),
            send: () => false,
            proxies: () => ["p-1"],
            sendToProxy: () => {
                queries += 1;
                return true;
            },
        },
        EventLog.create("vm-1", undefined),
    );
    client.acquire(ORGANISATION, nowMs() + DEADLINE_MS, (decision) => decisions.push(decision));
    t.deepEqual(decisions, []);
    await delay(DECIDED_MS);
    t.deepEqual(decisions.map(({ kind }) => kind), [QuotaDecisionKind.Refused]);
    t.true(queries <= 2);
    client.close();
});

test.serial("malformed messages of other proxies are ignored", (t) => {
    const { client } = create();
    const messages: unknown[] = [
        {},
        { kind: ProxyMessageKind.RelayStatement, controls: "c-1" },
        { kind: ProxyMessageKind.RelayStatement, controls: [undefined, { vm: 1 }, { vm: "c-1", failureDomain: "x".repeat(300) }] },
        { kind: ProxyMessageKind.RelayStatement, controls: [], relays: [1, undefined] },
        { kind: ProxyMessageKind.RelayStatement, controls: [], relays: "p-9" },
        { kind: ProxyMessageKind.RelayedGrant, controlVm: "c-1", id: "1", grants: [{}] },
        { kind: ProxyMessageKind.RelayedGrant, controlVm: "c-1", id: 1 },
    ];
    messages.forEach((message) => t.notThrows(() => client.handleProxyMessage("p-1", message as ProxyMessage)));
    t.is(client.gauges.find(({ name }) => name === "quota_relays")?.read(), 0);
    client.close();
});
