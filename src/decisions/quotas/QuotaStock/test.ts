import test from "ava";
import { ItemKind } from "../../items/ItemKind.js";
import { OrganisationItem } from "../../items/OrganisationItem.js";
import { controlOrder } from "../controlOrder/index.js";
import { pathKey } from "../pathKey/index.js";
import { QuotaDecisionKind } from "../QuotaDecisionKind.js";
import { QuotaEffect } from "../QuotaEffect.js";
import { QuotaEffectKind } from "../QuotaEffectKind.js";
import { QuotaView } from "../QuotaView.js";
import { QuotaStock } from "./index.js";

const PROXY = { vm: "vm-1", failureDomain: "a" };
const ORGANISATION: OrganisationItem = { kind: ItemKind.Organisation, name: "org-1", apiKeys: [], priority: 0, ratePerSecond: 10, burst: 10 };
const CONTROLS = ["c-1", "c-2", "c-3"].map((vm) => ({ vm, failureDomain: "b" }));
const [FIRST = "", SECOND = "", THIRD = ""] = controlOrder(CONTROLS, PROXY, "org-1").map(({ vm }) => vm);
const VIEW: QuotaView = { controls: CONTROLS, proxyCount: 104 };
const NO_CONTACT: QuotaView = { controls: [], proxyCount: 104 };
const DEADLINE_MS = 1_000_000;

/** Numbers of the asks without a reply, by control VM. */
const sentIds = new WeakMap<QuotaStock, Map<string, number[]>>();

function recordAsk(stock: QuotaStock, controlVm: string, id: number): void {
    const byControl = sentIds.get(stock) ?? new Map<string, number[]>();
    sentIds.set(stock, byControl.set(controlVm, [...byControl.get(controlVm) ?? [], id]));
}

function createStock(random: () => number = () => 0): QuotaStock {
    return QuotaStock.create({ ...PROXY, terms: { windowMs: 5_000, overshoot: 0.1, slack: 20 }, random });
}

function acquire(stock: QuotaStock, request: number, nowMs: number, view = VIEW, organisation = ORGANISATION): readonly string[] {
    return describe(stock.acquire({ request, organisation, deadlineAtMs: DEADLINE_MS }, view, nowMs), stock);
}

/** Replies to the oldest ask that a control VM has not replied to. */
function reply(stock: QuotaStock, controlVm: string, count: number, waitMs: number, nowMs: number, view = VIEW): readonly string[] {
    const id = sentIds.get(stock)?.get(controlVm)?.shift() ?? 0;
    return describe(stock.applyGrants({ vm: controlVm }, id, [{ organisation: "org-1", count, waitMs }], view, nowMs), stock);
}

/** Describes effects in short: `ask c-1 2`, `grant 1`, `refuse 1 500`. */
function describe(effects: readonly QuotaEffect[], stock: QuotaStock): readonly string[] {
    return effects.flatMap((effect) => {
        switch (effect.kind) {
            case QuotaEffectKind.Ask:
                recordAsk(stock, pathKey(effect.path), effect.id);
                return [`ask ${effect.path.vm}${effect.path.relay === undefined ? "" : ` through ${effect.path.relay}`} ${effect.count}`];
            case QuotaEffectKind.Decide:
                return effect.decision.kind === QuotaDecisionKind.Granted
                    ? [`grant ${effect.request}`]
                    : [`refuse ${effect.request} ${effect.decision.retryAfterMs}`];
            case QuotaEffectKind.FindRelays:
                return ["find relays"];
            case QuotaEffectKind.RelaySilent:
                return [`${effect.relay} is silent`];
            case QuotaEffectKind.ContactChanged:
                return [effect.hasContact ? "contact" : "no contact"];
            case QuotaEffectKind.RefusalsChanged:
                return [effect.isRefusing ? "refusals start" : `refusals end after ${effect.refusals}`];
        }
    });
}

test("a request without a token waits until a control VM grants one", (t) => {
    const stock = createStock();
    t.deepEqual(acquire(stock, 1, 0), [`ask ${FIRST} 1`]);
    t.deepEqual(reply(stock, FIRST, 1, 0, 5), ["grant 1"]);
    t.is(stock.wakeAtMs, undefined);
});

// Load: many requests of one organisation at once. Guards against one message for each of them.
test("requests that come while a control VM is asked share the next ask", (t) => {
    const stock = createStock();
    t.deepEqual([1, 2, 3].map((request) => acquire(stock, request, 0).length), [1, 0, 0]);
    t.deepEqual(reply(stock, FIRST, 1, 0, 5), ["grant 1", `ask ${FIRST} 2`]);
    t.deepEqual(reply(stock, FIRST, 2, 0, 10), ["grant 2", "grant 3"]);
});

// Load: eight times the limit. Guards against refusals while another control VM still has tokens, and against asks that are in vain.
test("a request is refused once all control VMs are empty, and the next ones at once, with times to return one after the other", (t) => {
    const stock = createStock();
    t.deepEqual(acquire(stock, 1, 0), [`ask ${FIRST} 1`]);
    t.deepEqual(reply(stock, FIRST, 0, 400, 5), [`ask ${SECOND} 1`]);
    t.deepEqual(reply(stock, SECOND, 0, 300, 10), [`ask ${THIRD} 1`]);
    t.deepEqual(reply(stock, THIRD, 0, 500, 15), ["refusals start", "refuse 1 295"]);
    t.deepEqual(acquire(stock, 2, 20), ["refuse 2 10000"]);
    t.deepEqual(acquire(stock, 3, 311), [`ask ${SECOND} 1`]);
});

// Guards against a stated time that has no room for the callers that were told to come back before.
test("at a proxy that gets most of the tokens, the times to return are as far apart as its tokens", (t) => {
    const stock = createStock();
    for (let request = 0; request < 20; request += 1) {
        acquire(stock, request, 0);
        reply(stock, FIRST, 1, 0, 0);
    }
    acquire(stock, 20, 0);
    CONTROLS.forEach(() => [FIRST, SECOND, THIRD].forEach((vm) => reply(stock, vm, 0, 100, 0)));
    t.deepEqual([21, 22, 23].flatMap((request) => acquire(stock, request, 0)), ["refuse 21 200", "refuse 22 300", "refuse 23 400"]);
});

test("control VMs of the own failure domain are asked first", (t) => {
    const controls = [...CONTROLS, { vm: "near", failureDomain: "a" }];
    t.deepEqual(acquire(createStock(), 1, 0, { controls, proxyCount: 104 }), ["ask near 1"]);
});

// Guards against a request that hangs because a control VM was killed or paused.
test("a control VM that does not reply within 150 ms is left out for 1 s, and the next one is asked", (t) => {
    const stock = createStock();
    acquire(stock, 1, 0);
    t.is(stock.wakeAtMs, 150);
    t.deepEqual(describe(stock.advance(VIEW, 150), stock), ["find relays", `ask ${SECOND} 1`]);
    t.deepEqual(reply(stock, SECOND, 1, 0, 160), ["grant 1"]);
    t.deepEqual(acquire(stock, 2, 1_149), ["find relays", `ask ${SECOND} 1`]);
    t.deepEqual(reply(stock, SECOND, 1, 0, 1_149), ["grant 2"]);
    t.deepEqual(acquire(stock, 3, 1_150), [`ask ${FIRST} 1`]);
});

test("the tokens of a late reply are used while they are valid", (t) => {
    const stock = createStock();
    acquire(stock, 1, 0);
    describe(stock.advance(VIEW, 150), stock);
    t.deepEqual(reply(stock, FIRST, 1, 0, 160), ["grant 1"]);
    reply(stock, SECOND, 1, 0, 170);
    t.deepEqual(acquire(stock, 2, 649), ["grant 2"]);
});

// Guards against a pause of the proxy after which it uses the tokens of a window that has passed.
for (const [askedAtMs, repliedAtMs, usedAtMs, isUsed] of [[0, 10, 600, true], [0, 10, 1_001, false], [0, 5_000, 5_000, false]] as const) {
    test(`a token that was asked for at ${askedAtMs} ms and read at ${repliedAtMs} ms ${isUsed ? "is" : "is not"} used at ${usedAtMs} ms`, (t) => {
        const stock = createStock();
        acquire(stock, 1, askedAtMs);
        stock.advance(NO_CONTACT, 400);
        reply(stock, FIRST, 1, 0, repliedAtMs, NO_CONTACT);
        t.is(acquire(stock, 2, usedAtMs)[0] === "grant 2", isUsed);
    });
}

test("a request waits 400 ms at most", (t) => {
    const stock = createStock(() => 0.5);
    acquire(stock, 1, 0);
    describe(stock.advance(VIEW, 150), stock);
    describe(stock.advance(VIEW, 300), stock);
    t.is(stock.wakeAtMs, 400);
    t.deepEqual(describe(stock.advance(VIEW, 400), stock).filter((effect) => effect.startsWith("refuse")).length, 1);
    t.is(stock.waitingCount, 0);
});

test("a request waits no longer than its deadline", (t) => {
    const stock = createStock();
    describe(stock.acquire({ request: 1, organisation: ORGANISATION, deadlineAtMs: 100 }, VIEW, 0), stock);
    t.is(stock.wakeAtMs, 100);
    describe(stock.advance(VIEW, 100), stock);
    t.is(stock.waitingCount, 0);
});

// Guards against refusals below the limit after a pause of the proxy, in which the reply of the control VM has come: a request that is read
// before the reply must not count the control VM as silent.
test("a request that comes after a pause, but before the reply is read, waits for it", (t) => {
    const stock = createStock();
    acquire(stock, 1, 0);
    t.deepEqual(acquire(stock, 2, 500), []);
    t.deepEqual(reply(stock, FIRST, 1, 0, 501), ["grant 1", `ask ${FIRST} 1`]);
});

// Load: a proxy with a quarter of a core that does not run for some 100 ms. Guards against refusals below the limit because all control VMs count as
// silent, and against a wait beyond the deadline.
test("the time for which the proxy did not run does not count as waited for a reply", (t) => {
    const stock = createStock();
    describe(stock.acquire({ request: 1, organisation: ORGANISATION, deadlineAtMs: 900 }, VIEW, 0), stock);
    stock.restartWaits(600);
    t.deepEqual(describe(stock.advance(VIEW, 600), stock), []);
    t.is(stock.wakeAtMs, 750);
    t.deepEqual(describe(stock.advance(VIEW, 750), stock), ["find relays", `ask ${SECOND} 1`]);
    stock.restartWaits(800);
    t.is(stock.wakeAtMs, 900);
});

// Guards against replies that are taken for those to later asks after one has been lost, as when a control VM has two links.
test("a reply that is lost does not spoil the later ones", (t) => {
    const stock = createStock();
    acquire(stock, 1, 0);
    describe(stock.advance(VIEW, 150), stock);
    describe(stock.advance(VIEW, 400), stock);
    sentIds.get(stock)?.clear();
    t.deepEqual(acquire(stock, 2, 1_300), ["find relays", `ask ${FIRST} 1`]);
    t.deepEqual(reply(stock, FIRST, 1, 0, 1_305), ["grant 2"]);
});

test("the closed link of a control VM does not keep a request waiting", (t) => {
    const stock = createStock();
    acquire(stock, 1, 0);
    stock.removePath({ vm: FIRST });
    const view = { ...VIEW, controls: CONTROLS.filter(({ vm }) => vm !== FIRST) };
    t.deepEqual(describe(stock.serve(view, 10), stock), [`ask ${SECOND} 1`]);
});

// Guards against tokens that are saved up while endpoints refuse all requests, and then run at once.
test("a token that is given back keeps its expiry", (t) => {
    const stock = createStock();
    acquire(stock, 1, 0);
    reply(stock, FIRST, 1, 0, 5);
    stock.giveBack("org-1", 900);
    t.deepEqual(acquire(stock, 2, 899), ["grant 2"]);
    stock.giveBack("org-1", 900);
    t.deepEqual(acquire(stock, 3, 900), [`ask ${FIRST} 1`]);
});

// Load: a proxy with 40 requests a second of one organisation. Guards against a message for each request.
test("a proxy with a high rate fetches tokens ahead", (t) => {
    const stock = createStock();
    const large = { ...ORGANISATION, ratePerSecond: 100, burst: 100 };
    let asks = 0;
    for (let request = 0; request < 200; request += 1) {
        const asked = acquire(stock, request, request * 25, VIEW, large).find((effect) => effect.startsWith("ask"));
        if (asked !== undefined) {
            asks += 1;
            reply(stock, FIRST, Number(asked.split(" ")[2]), 0, request * 25);
        }
    }
    t.true(asks < 100, `${asks} asks for 200 requests`);
});

// Load: proxies that are cut off from all control VMs. Guards against refusing all, and against granting the full limit at each.
test("without contact, a proxy grants its part of the permitted excess", (t) => {
    const stock = createStock(() => 0.5);
    acquire(stock, 1, 0);
    reply(stock, FIRST, 1, 0, 5);
    const grants: number[] = [];
    for (let atMs = 10; atMs < 600_000; atMs += 100) {
        if (acquire(stock, 2, atMs, NO_CONTACT).includes("grant 2")) {
            grants.push(atMs);
        }
    }
    // 0.25 x 26 tokens in two windows of all 104 proxies: one in 160 s at each.
    t.is(grants.length, 4);
    t.is(stock.localCount, 4);
});

// Guards against a proxy that restarts again and again and has a token each time.
test("before its first contact, a proxy grants nothing", (t) => {
    const stock = createStock();
    t.deepEqual(acquire(stock, 1, 0, NO_CONTACT), ["find relays", "no contact", "refusals start", "refuse 1 1000"]);
});

const RELAYED: QuotaView = { controls: CONTROLS.map((control) => ({ ...control, relay: "p-1" })), proxyCount: 104 };
const RELAY_ORDER = controlOrder(RELAYED.controls, PROXY, "org-1").map(({ vm }) => vm);

// Load: a proxy that is cut off from all control VMs, but not from other proxies. Guards against refusals below the limit.
test("without a link, a proxy asks control VMs through another proxy", (t) => {
    const stock = createStock();
    const [first = ""] = RELAY_ORDER;
    t.deepEqual(acquire(stock, 1, 0, RELAYED), ["find relays", `ask ${first} through p-1 1`]);
    const grants = [{ organisation: "org-1", count: 1, waitMs: 0 }];
    t.deepEqual(describe(stock.applyGrants({ vm: first }, 1, grants, RELAYED, 5), stock), []);
    t.deepEqual(describe(stock.applyGrants({ vm: first, relay: "p-1" }, 1, grants, RELAYED, 5), stock), ["grant 1"]);
});

test("requests wait while a relay may be found, and are decided once the search has ended", (t) => {
    const stock = createStock();
    const searching: QuotaView = { ...NO_CONTACT, mayFindRelay: true };
    t.deepEqual(acquire(stock, 1, 0, searching), ["find relays"]);
    t.deepEqual(describe(stock.advance(NO_CONTACT, 150), stock), ["find relays", "no contact", "refusals start", "refuse 1 1000"]);
});

test("a request does not wait for a relay beyond the time that it may wait for its decision", (t) => {
    const stock = createStock();
    const searching: QuotaView = { ...NO_CONTACT, mayFindRelay: true };
    acquire(stock, 1, 0, searching);
    t.is(stock.wakeAtMs, 400);
    t.deepEqual(describe(stock.advance(searching, 400), stock), ["refusals start", "refuse 1 1000"]);
});

// Load: a cut that the links have not noticed yet. Guards against requests that spend all their time on control VMs that do not reply.
test("after two silent control VMs, the next one is asked through a relay", (t) => {
    const stock = createStock();
    acquire(stock, 1, 0);
    const both: QuotaView = { ...VIEW, controls: [...CONTROLS, ...RELAYED.controls] };
    t.deepEqual(describe(stock.advance(both, 150), stock), ["find relays", `ask ${SECOND} 1`]);
    t.deepEqual(describe(stock.advance(both, 300), stock), ["find relays", `ask ${RELAY_ORDER[0]} through p-1 1`]);
});

test("a relay that has not replied in time is reported, so that another one is used", (t) => {
    const stock = createStock();
    acquire(stock, 1, 0, RELAYED);
    t.true(describe(stock.advance(RELAYED, 150), stock).includes("p-1 is silent"));
});

// Guards against memory that grows while relays change.
test("what was asked through former relays is forgotten", (t) => {
    const stock = createStock();
    for (let index = 0; index < 500; index += 1) {
        const view: QuotaView = { controls: [{ vm: "c-1", failureDomain: "b", relay: `p-${index}` }], proxyCount: 104 };
        acquire(stock, index, 10_000 * index, view);
        stock.applyGrants({ vm: "c-1", relay: `p-${index}` }, index + 1, [{ organisation: "org-1", count: 1, waitMs: 1 }], view, 10_000 * index + 5);
    }
    t.true(stock.pathCount <= 66);
});

test("the end of refusals and of an outage is told once", (t) => {
    const stock = createStock();
    acquire(stock, 1, 0, NO_CONTACT);
    t.is(stock.wakeAtMs, 5_000);
    t.deepEqual(describe(stock.advance(VIEW, 5_000), stock), ["refusals end after 1"]);
    t.is(stock.wakeAtMs, undefined);
    t.deepEqual(acquire(stock, 2, 5_001), ["contact", `ask ${FIRST} 1`]);
});

test("requests of an organisation that is removed do not wait", (t) => {
    const stock = createStock();
    acquire(stock, 1, 0);
    t.deepEqual(describe(stock.setOrganisations([]), stock), ["refuse 1 50"]);
    t.deepEqual(reply(stock, FIRST, 1, 0, 5), []);
    t.is(stock.tokenCount, 0);
});

test("a raised limit is asked for at once", (t) => {
    const stock = createStock();
    acquire(stock, 1, 0);
    [FIRST, SECOND, THIRD].forEach((vm) => reply(stock, vm, 0, 5_000, 5));
    t.deepEqual(acquire(stock, 2, 20).length, 1);
    stock.setOrganisations([{ ...ORGANISATION, ratePerSecond: 100 }]);
    t.deepEqual(acquire(stock, 3, 30, VIEW, { ...ORGANISATION, ratePerSecond: 100 }), [`ask ${FIRST} 1`]);
});

// Guards against a control VM of a hostile or broken process that grants what was not asked for.
test("grants that were not asked for are ignored", (t) => {
    const stock = createStock();
    t.deepEqual(reply(stock, FIRST, 100, 0, 0), []);
    acquire(stock, 1, 0);
    reply(stock, FIRST, 100, 0, 0);
    t.is(stock.tokenCount, 0);
});
