import test from "ava";
import { ItemKind } from "../../decisions/items/ItemKind.js";
import { itemKey } from "../../decisions/items/itemKey/index.js";
import { VersionedItem } from "../../decisions/items/VersionedItem.js";
import { Message } from "../../links/Message.js";
import { MessageKind } from "../../links/MessageKind.js";
import { QuotaGranter } from "./index.js";

const TERMS = { windowMs: 5_000, overshoot: 0, slack: 0 };

function item(name: string, ratePerSecond: number): VersionedItem {
    const content = { kind: ItemKind.Organisation as const, name, apiKeys: [], priority: 0, ratePerSecond, burst: 3 };
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
    t.deepEqual(countsOf(granter.handleRequest([{ organisation: "a", count: 2 }])), [2]);
    controls = 3;
    t.deepEqual(countsOf(granter.handleRequest([{ organisation: "a", count: 9 }, { organisation: "b", count: 9 }])), [1, 1]);
    t.deepEqual(granter.gauges.map(({ name, read }) => [name, read()]), [["quota_organisations", 2], ["quota_grants", 4]]);
});

// Guards against a process of another version, or one that invents asks: neither may take tokens of others, nor end the control VM.
test("malformed asks are skipped", (t) => {
    const granter = QuotaGranter.create(TERMS, () => 1);
    granter.recordFirstRun();
    granter.setItems([item("a", 1)]);
    const asks = [undefined, "a", {}, { organisation: "a" }, { organisation: 1, count: 1 }, { organisation: "a", count: -1 }, { organisation: "a", count: 0.5 }];
    t.deepEqual(countsOf(granter.handleRequest([...asks, { organisation: "a", count: Number.POSITIVE_INFINITY }])), []);
    t.deepEqual(countsOf(granter.handleRequest([{ organisation: "a", count: 9 }])), [3]);
});
