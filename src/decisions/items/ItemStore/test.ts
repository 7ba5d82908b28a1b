import test from "ava";
import { RequestKind } from "../../../model/RequestKind.js";
import { ItemKind } from "../ItemKind.js";
import { ItemOutcomeKind } from "../ItemOutcomeKind.js";
import { VersionedItem } from "../VersionedItem.js";
import { ItemStore } from "./index.js";

function service(name: string, version: number): VersionedItem {
    const content = { kind: ItemKind.Service as const, name, healthPath: "/health", maxConnections: 10 };
    return { key: `service/${name}`, version, content, document: `service ${name}` };
}

function route(name: string, version: number, target: string, document = `${name} to ${target}`): VersionedItem {
    const content = {
        kind: ItemKind.Route as const,
        name,
        host: "a.example",
        pathPrefix: "/",
        requestKind: RequestKind.Once,
        timeoutMs: 1_000,
        targetLatencyMs: 500,
        priority: 1,
        maxAttempts: 2,
        hasLargeBodies: false,
        isKeyExempt: false,
        services: [{ service: target, weight: 1 }],
    };
    return { key: `route/${name}`, version, content, document };
}

function tombstone(name: string, version: number): VersionedItem {
    return { key: `route/${name}`, version, content: undefined, document: "" };
}

test("the highest version of an item wins, in whatever order the versions are applied", (t) => {
    const changes = [[service("s", 1), service("u", 1)], [route("r", 3, "s")], [tombstone("r", 5)], [route("r", 9, "u")]];
    const inOrder = ItemStore.create();
    const reversed = ItemStore.create();
    changes.forEach((change) => t.is(inOrder.apply(change).kind, ItemOutcomeKind.Accepted));
    reversed.merge([service("s", 1), service("u", 1)]);
    [...changes].reverse().forEach((change) => t.is(reversed.apply(change).kind, ItemOutcomeKind.Accepted));
    const sort = (store: ItemStore): readonly VersionedItem[] => [...store.all].sort((left, right) => left.key < right.key ? -1 : 1);
    t.deepEqual(sort(inOrder), sort(reversed));
    t.is(inOrder.all.find(({ key }) => key === "route/r")?.version, 9);
});

test("an older version does not bring back a removed item", (t) => {
    const store = ItemStore.create();
    store.apply([service("s", 1), route("r", 3, "s")]);
    store.apply([tombstone("r", 5)]);
    t.is(store.apply([route("r", 4, "s")]).kind, ItemOutcomeKind.Accepted);
    t.is(store.all.find(({ key }) => key === "route/r")?.content, undefined);
});

test("a change that is applied again is accepted and has no effect", (t) => {
    const store = ItemStore.create();
    const change = [service("s", 1), route("r", 3, "s")];
    store.apply(change);
    t.is(store.apply(change).kind, ItemOutcomeKind.Accepted);
    t.is(store.size, 2);
});

test("different content under the same version is a conflict, and no part of the change is applied", (t) => {
    const store = ItemStore.create();
    store.apply([service("s", 1), route("r", 3, "s")]);
    const outcome = store.apply([route("q", 1, "s"), route("r", 3, "s", "other text")]);
    t.deepEqual(outcome, { kind: ItemOutcomeKind.Conflict, key: "route/r", version: 3 });
    t.is(store.all.find(({ key }) => key === "route/q"), undefined);
});

test("a route to an unknown service is refused, and a route in the same change as its service is accepted", (t) => {
    const store = ItemStore.create();
    t.is(store.apply([route("r", 1, "s")]).kind, ItemOutcomeKind.UnknownService);
    t.is(store.apply([route("r", 1, "s"), service("s", 1)]).kind, ItemOutcomeKind.Accepted);
});

// Guards against an acknowledged change that has no effect.
test("of two versions of an item in one change the higher one takes effect, wherever it stands", (t) => {
    for (const order of [[0, 1], [1, 0]] as const) {
        const store = ItemStore.create();
        store.apply([service("s", 1), route("r", 3, "s")]);
        const versions = [tombstone("r", 18), route("r", 20, "s", "newest")] as const;
        t.is(store.apply(order.map((index) => versions[index])).kind, ItemOutcomeKind.Accepted);
        t.is(store.all.find(({ key }) => key === "route/r")?.document, "newest");
    }
});

// Guards against a configuration in force whose route leads nowhere.
test("the removal of a service that a route names is refused, and accepted once no route names it", (t) => {
    const store = ItemStore.create();
    const removal: VersionedItem = { key: "service/s", version: 2, content: undefined, document: "" };
    store.apply([service("s", 1), service("u", 1), route("r", 1, "s")]);
    t.deepEqual(store.apply([removal]), { kind: ItemOutcomeKind.UnknownService, key: "route/r", service: "s" });
    t.is(store.apply([removal, route("r", 2, "u")]).kind, ItemOutcomeKind.Accepted);
    t.is(store.apply([removal]).kind, ItemOutcomeKind.Accepted);
});

test("a removal that a newer version of the service has overtaken is accepted and has no effect", (t) => {
    const store = ItemStore.create();
    store.apply([service("s", 5), route("r", 1, "s")]);
    t.is(store.apply([{ key: "service/s", version: 2, content: undefined, document: "" }]).kind, ItemOutcomeKind.Accepted);
    t.true(store.hasContent("service/s"));
});

function organisation(name: string, version: number, apiKeys: readonly string[]): VersionedItem {
    const content = { kind: ItemKind.Organisation as const, name, apiKeys, priority: 1, ratePerSecond: 0, burst: 0 };
    return { key: `organisation/${name}`, version, content, document: `${name} ${apiKeys.join()}` };
}

// Guards against requests that are counted for, and shown to the endpoint as, another organisation than their caller's.
test("a change is refused as a whole if a key would belong to two organisations", (t) => {
    const store = ItemStore.create();
    store.apply([organisation("a", 1, ["k-1", "k-2"])]);
    const outcome = store.apply([service("s", 2), organisation("b", 2, ["k-2"])]);
    t.deepEqual(outcome, { kind: ItemOutcomeKind.SharedKey, key: "organisation/b", other: "organisation/a" });
    t.false(store.hasContent("service/s"));
    t.is(store.apply([organisation("c", 2, ["k-3"]), organisation("d", 2, ["k-3"])]).kind, ItemOutcomeKind.SharedKey);
});

test("a key may move to another organisation in one change, and to any once its holder is removed", (t) => {
    const store = ItemStore.create();
    store.apply([organisation("a", 1, ["k-1"])]);
    t.is(store.apply([organisation("b", 2, ["k-1"]), organisation("a", 2, [])]).kind, ItemOutcomeKind.Accepted);
    t.is(store.apply([{ ...organisation("b", 3, []), content: undefined }]).kind, ItemOutcomeKind.Accepted);
    t.is(store.apply([organisation("c", 4, ["k-1", "k-1"])]).kind, ItemOutcomeKind.Accepted);
});

// Guards against changes that are refused for what was in force before them.
test("an organisation is compared by its newest version, wherever it stands in the change", (t) => {
    const store = ItemStore.create();
    store.apply([organisation("a", 5, [])]);
    t.is(store.apply([organisation("a", 4, ["k-1"]), organisation("b", 1, ["k-1"])]).kind, ItemOutcomeKind.Accepted);
});
