import test from "ava";
import { digestItems } from "../digestItems/index.js";
import { VersionedItem } from "../VersionedItem.js";
import { selectDifferingItems } from "./index.js";

function createItem(key: string, version = 1): VersionedItem {
    return { key, version, content: undefined, document: "" };
}

const ITEMS = Array.from({ length: 2_000 }, (_, index) => createItem(`route/r-${index}`));

test("a process that has the same items gets none, in whatever order it holds them", (t) => {
    t.deepEqual(selectDifferingItems(ITEMS, digestItems([...ITEMS].reverse())), []);
});

test("a process without items gets all", (t) => {
    t.deepEqual(selectDifferingItems(ITEMS, digestItems([])), ITEMS);
});

// Load: a proxy that subscribes again over a slow link. Guards against all items being sent for one that has changed.
test("a process that lacks one version gets it, and few others", (t) => {
    const changed = [...ITEMS.slice(1), createItem("route/r-0", 2)];
    const selected = selectDifferingItems(changed, digestItems(ITEMS));
    t.true(selected.some(({ key, version }) => key === "route/r-0" && version === 2));
    t.true(selected.length < 100);
});

// Guards against changes that cancel each other out: versions change alike in all items of a call.
test("every item that has changed is selected, whichever ones have changed alike", (t) => {
    for (let count = 2; count <= ITEMS.length; count *= 2) {
        const changed = ITEMS.map((item, index) => index < count ? createItem(item.key, 2) : item);
        const selected = new Set(selectDifferingItems(changed, digestItems(ITEMS)).map(({ key }) => key));
        t.true(changed.slice(0, count).every(({ key }) => selected.has(key)), `${count}`);
    }
});

test("malformed digests select all items", (t) => {
    [[], ["x"], [undefined], new Array<unknown>(64).fill(Number.NaN)].forEach((digests) => t.deepEqual(selectDifferingItems(ITEMS, digests), ITEMS));
});
