import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { nowMs } from "../../clock/nowMs/index.js";
import { ItemKind } from "../../decisions/items/ItemKind.js";
import { itemKey } from "../../decisions/items/itemKey/index.js";
import { VersionedItem } from "../../decisions/items/VersionedItem.js";
import { Message } from "../../links/Message.js";
import { MessageKind } from "../../links/MessageKind.js";
import { QuotaGranter } from "./index.js";

const TERMS = { windowMs: 5_000, overshoot: 0, slack: 0 };

function item(name: string, ratePerSecond: number, burst = 3): VersionedItem {
    const content = { kind: ItemKind.Organisation as const, name, apiKeys: [], priority: 0, ratePerSecond, burst };
    return { key: itemKey(ItemKind.Organisation, name), version: 1, document: "", content };
}

function countsOf(message: Message): readonly number[] {
    return message.kind === MessageKind.QuotaGrant ? message.grants.map(({ count }) => count) : [];
}

test("the organisations in force are granted tokens from the share of this control VM", (t) => {
    let controls = 1;
    const granter = QuotaGranter.create(TERMS, () => controls);
    granter.recordFirstRun();
    granter.setItems([item("a", 0.001), item("b", 0.001)]);
    t.deepEqual(countsOf(granter.handleRequest(1, [{ organisation: "a", count: 2 }])), [2]);
    controls = 3;
    t.deepEqual(countsOf(granter.handleRequest(1, [{ organisation: "a", count: 9 }, { organisation: "b", count: 9 }])), [1, 1]);
    t.deepEqual(granter.gauges.map(({ name, read }) => [name, read()]), [["quota_organisations", 2], ["quota_grants", 4]]);
});

// Guards against a bucket that fills at the whole rate from the start of the process up to the first request.
test("after a restart, a bucket fills at the rate of this share", async (t) => {
    const startedAtMs = nowMs();
    const granter = QuotaGranter.create(TERMS, () => 5);
    granter.setItems([item("a", 1_000, 1_000)]);
    await delay(100);
    const [count = 0] = countsOf(granter.handleRequest(1, [{ organisation: "a", count: 10_000 }]));
    t.true(count > 0 && count <= (nowMs() - startedAtMs) * 1_000 / 5 / 1_000 + 1);
});

// Guards against a process of another version, or one that invents asks: neither may take tokens of others, nor end the control VM.
test("malformed asks are skipped", (t) => {
    const granter = QuotaGranter.create(TERMS, () => 1);
    granter.recordFirstRun();
    granter.setItems([item("a", 1)]);
    const asks = [undefined, "a", {}, { organisation: "a" }, { organisation: 1, count: 1 }, { organisation: "a", count: -1 }, { organisation: "a", count: 0.5 }];
    t.deepEqual(countsOf(granter.handleRequest(1, [...asks, { organisation: "a", count: Number.POSITIVE_INFINITY }])), []);
    t.deepEqual(countsOf(granter.handleRequest(1, [{ organisation: "a", count: 9 }])), [3]);
});
