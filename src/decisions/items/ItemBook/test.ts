import test from "ava";
import { RequestKind } from "../../../model/RequestKind.js";
import { ItemKind } from "../ItemKind.js";
import { ItemOutcomeKind } from "../ItemOutcomeKind.js";
import { VersionedItem } from "../VersionedItem.js";
import { ItemBook } from "./index.js";

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
        services: [{ service: target, weight: 1 }],
    };
    return { key: `route/${name}`, version, content, document };
}

function removal(name: string, version: number): VersionedItem {
    return { key: `route/${name}`, version, content: undefined, document: "" };
}

test("the highest version of an item holds, in whatever order the versions come", (t) => {
    const changes = [[service("s", 1), service("u", 1)], [route("r", 3, "s")], [removal("r", 5)], [route("r", 9, "u")]];
    const inOrder = ItemBook.create();
    const reversed = ItemBook.create();
    changes.forEach((change) => t.is(inOrder.apply(change).kind, ItemOutcomeKind.Accepted));
    reversed.merge([service("s", 1), service("u", 1)]);
    [...changes].reverse().forEach((change) => t.is(reversed.apply(change).kind, ItemOutcomeKind.Accepted));
    const sort = (book: ItemBook): readonly VersionedItem[] => [...book.all].sort((left, right) => left.key < right.key ? -1 : 1);
    t.deepEqual(sort(inOrder), sort(reversed));
    t.is(inOrder.all.find(({ key }) => key === "route/r")?.version, 9);
});

test("a removed item does not come back by an older version", (t) => {
    const book = ItemBook.create();
    book.apply([service("s", 1), route("r", 3, "s")]);
    book.apply([removal("r", 5)]);
    t.is(book.apply([route("r", 4, "s")]).kind, ItemOutcomeKind.Accepted);
    t.is(book.all.find(({ key }) => key === "route/r")?.content, undefined);
});

test("a change that was accepted is accepted again and changes nothing", (t) => {
    const book = ItemBook.create();
    const change = [service("s", 1), route("r", 3, "s")];
    book.apply(change);
    t.is(book.apply(change).kind, ItemOutcomeKind.Accepted);
    t.is(book.size, 2);
});

test("other content under the version held is refused, and no part of its change is taken", (t) => {
    const book = ItemBook.create();
    book.apply([service("s", 1), route("r", 3, "s")]);
    const outcome = book.apply([route("q", 1, "s"), route("r", 3, "s", "other text")]);
    t.deepEqual(outcome, { kind: ItemOutcomeKind.Conflict, key: "route/r", version: 3 });
    t.is(book.all.find(({ key }) => key === "route/q"), undefined);
});

test("a route to a service that does not exist is refused, and one that comes with its service is not", (t) => {
    const book = ItemBook.create();
    t.is(book.apply([route("r", 1, "s")]).kind, ItemOutcomeKind.UnknownService);
    t.is(book.apply([route("r", 1, "s"), service("s", 1)]).kind, ItemOutcomeKind.Accepted);
});
