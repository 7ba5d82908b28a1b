import test from "ava";
import { QuarantineLedger } from "./index.js";

const MINUTE_MS = 60_000;

test("a request in flight at two losses is quarantined", (t) => {
    const ledger = QuarantineLedger.create();
    ledger.strike("crash", "gate-1", 0);
    t.false(ledger.isQuarantined("crash", 0));
    ledger.strike("crash", "gate-2", 1);
    t.true(ledger.isQuarantined("crash", 1));
});

test("one loss counts once, however often it is told", (t) => {
    const ledger = QuarantineLedger.create();
    t.true(ledger.strike("crash", "gate-1", 0));
    t.false(ledger.strike("crash", "gate-1", 1));
    t.false(ledger.isQuarantined("crash", 1));
});

test("a request answered between two losses is not blamed", (t) => {
    const ledger = QuarantineLedger.create();
    ledger.strike("popular", "gate-1", 0);
    t.true(ledger.acquit("popular", 1));
    ledger.strike("popular", "gate-2", 2);
    t.false(ledger.isQuarantined("popular", 2));
});

test("a late answer does not lift a quarantine", (t) => {
    const ledger = QuarantineLedger.create();
    ledger.strike("crash", "gate-1", 0);
    ledger.strike("crash", "gate-2", 0);
    t.false(ledger.acquit("crash", 1));
    t.true(ledger.isQuarantined("crash", 1));
});

test("a quarantine ends, and one more loss after it quarantines again only with a fresh strike beside it", (t) => {
    const ledger = QuarantineLedger.create();
    ledger.strike("crash", "gate-1", 0);
    ledger.strike("crash", "gate-2", 0);
    t.false(ledger.isQuarantined("crash", 10 * MINUTE_MS));
    ledger.strike("crash", "gate-3", 11 * MINUTE_MS);
    t.false(ledger.isQuarantined("crash", 11 * MINUTE_MS));
    ledger.strike("crash", "gate-4", 12 * MINUTE_MS);
    t.true(ledger.isQuarantined("crash", 12 * MINUTE_MS));
});

test("memory is bounded: the request struck longest ago is forgotten", (t) => {
    const ledger = QuarantineLedger.create();
    for (let index = 0; index < 5_000; index += 1) {
        ledger.strike(`request-${index}`, "gate-1", index);
    }
    t.is(ledger.size, 4_096);
});
