import test from "ava";
import { createServingRequest as request } from "../../../../test/fixtures/createServingRequest.js";
import { OrganisationUse } from "../OrganisationUse/index.js";
import { ServingRequest } from "../ServingRequest.js";
import { assignTurns } from "./index.js";

function order(waiting: readonly ServingRequest[], use = OrganisationUse.create()): readonly string[] {
    return assignTurns(waiting, () => use, 0, 300).map(({ request: { key } }) => key);
}

test("the order is by urgency, whatever the use", (t) => {
    const use = OrganisationUse.create();
    use.recordArrival("a", false, 0);
    use.recordStart("a", 0);
    const waiting = [
        request("lower", "b", { organisationPriority: 1, priority: 0 }),
        request("less urgent", "b", { priority: 2 }),
        request("urgent", "a"),
        request("call", ""),
    ];
    t.deepEqual(order(waiting, use), ["urgent", "less urgent", "lower"]);
});

// Load: one organisation has three requests waiting when those of others come.
test("equally urgent requests of several organisations take turns", (t) => {
    const waiting = [request("a1", "a"), request("a2", "a"), request("a3", "a"), request("b1", "b"), request("c1", "c")];
    const use = OrganisationUse.create();
    waiting.forEach(({ organisation }) => {
        use.recordArrival(organisation, false, 0);
    });
    t.deepEqual(order(waiting, use), ["a1", "b1", "c1", "a2", "a3"]);
});

test("within one organisation, requests that can still meet their target go first, by their targets", (t) => {
    const waiting = [request("late", "a", { targetAtMs: 200 }), request("second", "a", { targetAtMs: 900 }), request("first", "a", { targetAtMs: 500 })];
    t.deepEqual(order(waiting), ["first", "second", "late"]);
});
