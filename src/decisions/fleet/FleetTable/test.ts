import test from "ava";
import { EndpointPhase } from "../EndpointPhase.js";
import { GateRecord } from "../GateRecord.js";
import { FleetTable } from "./index.js";

const RECORD: GateRecord = {
    vm: "vm-1",
    failureDomain: "a",
    gateAddress: "10.0.0.1:1",
    run: 1,
    sequence: 1,
    isOpen: true,
    endpoint: { id: "i-1", bornAtMs: 1, sequence: 1, service: "s", phase: EndpointPhase.Ready, slots: 5, coldRemainingMs: 0 },
    limitPerSecond: undefined,
};

const nested = JSON.parse(`${"[".repeat(10_000)}${"]".repeat(10_000)}`) as unknown;

// Guards against one odd record that keeps a process from using all others, or that is passed on to the next one.
const ODD_RECORDS: Record<string, unknown> = {
    "nothing": undefined,
    "null": null,
    "a number": 5,
    "a record without a name": { ...RECORD, vm: undefined },
    "a record whose name is deeply nested": { ...RECORD, vm: nested },
    "a run beyond exact integers": { ...RECORD, run: 2 ** 60 },
    "an address of another type": { ...RECORD, gateAddress: 7 },
    "an endpoint of another type": { ...RECORD, endpoint: "i-1" },
    "an endpoint without a service": { ...RECORD, endpoint: { ...RECORD.endpoint, service: undefined } },
    "an endpoint in an unknown phase": { ...RECORD, endpoint: { ...RECORD.endpoint, phase: "asleep" } },
    "an endpoint with infinite slots": { ...RECORD, endpoint: { ...RECORD.endpoint, slots: Number.POSITIVE_INFINITY } },
    "a limit that is no number": { ...RECORD, limitPerSecond: "5" },
};

Object.entries(ODD_RECORDS).forEach(([description, odd]) => {
    test(`among other records, ${description} is skipped`, (t) => {
        const table = FleetTable.create();
        const other = { ...RECORD, vm: "vm-2" };
        t.deepEqual(table.merge([odd, other]), [other]);
        t.deepEqual(table.all, [other]);
    });
});

test("a newer record of the same proxy replaces the older one, and not the other way round", (t) => {
    const table = FleetTable.create();
    const newer = { ...RECORD, sequence: 2, endpoint: undefined };
    t.deepEqual(table.merge([newer]), [newer]);
    t.deepEqual(table.merge([RECORD]), []);
    t.deepEqual(table.find("vm-1"), newer);
});

// Guards against a process that grows with each name that one faulty process invents.
test("a full table takes no further proxies, but new records of those that it has", (t) => {
    const table = FleetTable.create();
    const records = Array.from({ length: 10_000 }, (_value, index) => ({ ...RECORD, vm: `invented-${index}` }));
    t.is(table.merge(records).length, 4_096);
    t.is(table.size, 4_096);
    t.is(table.refusals, 5_904);
    const [newer] = records.map((record) => ({ ...record, sequence: 2 }));
    t.deepEqual(table.merge([newer]), [newer]);
});

// Guards against a long run in which replaced proxies fill the table, so that new ones get no requests.
test("in a full table a further proxy takes the place of one that has stopped", (t) => {
    const table = FleetTable.create();
    const records = Array.from({ length: 4_096 }, (_value, index) => ({ ...RECORD, vm: `vm-${index}`, isOpen: index !== 7 }));
    table.merge(records);
    const added = { ...RECORD, vm: "added" };
    t.deepEqual(table.merge([added, { ...RECORD, vm: "another" }]), [added]);
    t.is(table.find("vm-7"), undefined);
    t.is(table.size, 4_096);
    t.is(table.refusals, 1);
});

test("in a full table a proxy that has started again keeps its place", (t) => {
    const table = FleetTable.create();
    const records = Array.from({ length: 4_096 }, (_value, index) => ({ ...RECORD, vm: `vm-${index}`, isOpen: index !== 7 && index !== 9 }));
    table.merge(records);
    table.merge([{ ...RECORD, vm: "vm-7", run: 2 }]);
    t.is(table.merge([{ ...RECORD, vm: "added" }, { ...RECORD, vm: "another" }]).length, 1);
    t.true(table.find("vm-7")?.isOpen);
    t.is(table.find("vm-9"), undefined);
});
