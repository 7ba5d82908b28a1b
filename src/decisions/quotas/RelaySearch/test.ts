import test from "ava";
import { RelaySearch } from "./index.js";

const CONTROLS = [{ vm: "c-1", failureDomain: "a" }, { vm: "c-2", failureDomain: "b" }];
const PROXIES = Array.from({ length: 100 }, (_, index) => `p-${index}`);

function create(): RelaySearch {
    let count = 0;
    return RelaySearch.create(() => {
        count += 1;
        return (count * 7 % 100) / 100;
    });
}

// Guards against one query to each proxy of a large fleet, from each of the others.
test("a search queries some of the proxies, and the next one comes a second later", (t) => {
    const search = create();
    t.is(new Set(search.start(PROXIES, 0)).size, 24);
    t.deepEqual(search.start(PROXIES, 999), []);
    t.is(search.start(PROXIES, 1_000).length, 24);
});

test("a relay may be found until the proxies should have replied, and again with the next search", (t) => {
    const search = create();
    t.true(search.mayFind(0));
    search.start(PROXIES, 0);
    t.deepEqual([149, 150, 999, 1_000].map((atMs) => search.mayFind(atMs)), [true, false, false, true]);
});

test("the control VMs of a proxy that reaches some can be asked through it", (t) => {
    const search = create();
    search.recordStatement("p-1", CONTROLS, [], 0);
    search.recordStatement("p-2", [], [], 0);
    t.deepEqual(search.controls(0), CONTROLS.map((control) => ({ ...control, relay: "p-1" })));
    t.is(search.relayCount, 1);
});

test("known relays are asked again before their statements expire, and others only if too few are known", (t) => {
    const search = create();
    search.recordStatement("p-1", CONTROLS, [], 0);
    t.true(search.start(PROXIES, 0).includes("p-1"));
    search.recordStatement("p-2", CONTROLS, [], 500);
    t.deepEqual(search.start(PROXIES, 1_000), ["p-1", "p-2"]);
});

test("a relay is not used after three seconds without a statement, after one without control VMs, or once it is silent", (t) => {
    const search = create();
    ["p-1", "p-2", "p-3"].forEach((vm) => search.recordStatement(vm, CONTROLS, [], 0));
    search.recordStatement("p-2", [], [], 100);
    search.remove("p-3");
    t.is(search.controls(2_999).length, 2);
    t.deepEqual(search.controls(3_000), []);
});

// Load: a proxy with few tunnels, none of them to a proxy in contact.
test("proxies that others name are queried once, and waited for", (t) => {
    const search = create();
    search.start(["p-1", "p-2"], 0);
    t.deepEqual(search.recordStatement("p-1", [], ["p-2", "p-50"], 100), ["p-50"]);
    t.deepEqual(search.recordStatement("p-2", [], ["p-50"], 110), []);
    t.deepEqual([249, 250].map((atMs) => search.mayFind(atMs)), [true, false]);
    t.deepEqual(search.recordStatement("p-50", CONTROLS, [], 120), []);
    t.deepEqual(search.relays, ["p-50"]);
});

// Guards against searches that go from proxy to proxy without end.
test("a search queries a limited number of named proxies", (t) => {
    const search = create();
    search.start(PROXIES, 0);
    const named = PROXIES.map((vm) => search.recordStatement(vm, [], [`${vm}-a`, `${vm}-b`, `${vm}-c`, `${vm}-d`], 10)).flat();
    t.is(named.length, 24);
    t.deepEqual(search.recordStatement("p-1", [], ["p-x"], 1_000), []);
});

// Guards against memory that statements nobody has asked for could take.
test("a limited number of relays is kept", (t) => {
    const search = create();
    PROXIES.forEach((vm) => search.recordStatement(vm, CONTROLS, [], 0));
    t.is(search.relayCount, 24);
});
