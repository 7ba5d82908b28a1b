import test from "ava";
import { EndpointPhase } from "../../fleet/EndpointPhase.js";
import { GateRecord } from "../../fleet/GateRecord.js";
import { GateIndex } from "./index.js";

const DOMAINS = ["a", "b", "c", "d", "e"];

function record(number: number, overrides: { phase?: EndpointPhase; service?: string; isOpen?: boolean } = {}): GateRecord {
    return {
        vm: `vm-${number}`,
        failureDomain: DOMAINS[number % DOMAINS.length] ?? "",
        gateAddress: `10.0.0.${number}:1`,
        run: 1,
        sequence: 1,
        limitPerSecond: undefined,
        isOpen: overrides.isOpen ?? true,
        endpoint: {
            id: `i-${number}`,
            bornAtMs: 1,
            sequence: 1,
            service: overrides.service ?? "s",
            phase: overrides.phase ?? EndpointPhase.Ready,
            slots: 8,
            coldRemainingMs: 0,
        },
    };
}

function createIndex(entry: number, gates: number): GateIndex {
    const index = GateIndex.create(`vm-${entry}`, DOMAINS[entry % DOMAINS.length] ?? "");
    for (let number = 0; number < gates; number += 1) {
        index.put(record(number));
    }
    return index;
}

test("gates of the entry's own failure domain come first", (t) => {
    const domains = createIndex(0, 50).serving("s").map(({ failureDomain }) => failureDomain);
    t.true(domains.slice(0, 10).every((domain) => domain === "a"));
    t.false(domains.slice(10).includes("a"));
});

test("a gate that drains, closes or changes its service is removed, and is added again by a newer record", (t) => {
    const index = createIndex(0, 5);
    index.put(record(1, { phase: EndpointPhase.Draining }));
    index.put(record(2, { isOpen: false }));
    index.put(record(3, { service: "other" }));
    t.is(index.count("s"), 2);
    t.is(index.count("other"), 1);
    index.put(record(1));
    t.is(index.count("s"), 3);
});

test("a gate that joins does not change the order of the others", (t) => {
    const index = createIndex(0, 40);
    const before = index.serving("s").map(({ vm }) => vm);
    index.put(record(40));
    t.deepEqual(index.serving("s").map(({ vm }) => vm).filter((vm) => vm !== "vm-40"), before);
});

[100, 300, 2_200].forEach((gates) => {
    test(`each of ${gates} gates is among the first twelve of at least one and at most 36 entries`, (t) => {
        const uses = new Map<string, number>();
        for (let entry = 0; entry < gates; entry += 1) {
            createIndex(entry, gates).serving("s").slice(0, 12).forEach(({ vm }) => uses.set(vm, (uses.get(vm) ?? 0) + 1));
        }
        t.is(uses.size, gates);
        t.true(Math.max(...uses.values()) <= 36);
    });
});
