import test from "ava";
import { createServingRequest as request } from "../../../../test/fixtures/createServingRequest.js";
import { ServingRequest } from "../ServingRequest.js";
import { OrganisationTurns } from "./index.js";

const SERVICE_MS = 300;

/** Starts requests while new ones take their place in the queue; returns the keys in their order. */
function play(turns: OrganisationTurns, waiting: readonly ServingRequest[], starts: number): readonly string[] {
    waiting.forEach((one) => {
        turns.recordArrival(one, [], 0);
    });
    return Array.from({ length: starts }, (_value, index) => {
        const next = turns.takeNext(waiting, index * 10, SERVICE_MS);
        if (next === undefined) {
            return "";
        }
        turns.recordStart(next, index * 10);
        turns.recordArrival(next, waiting, index * 10);
        return next.key;
    });
}

// Load: requests of the highest priority wait all the time. Guards against the starvation of all others.
test("one of four starts goes to a lower priority, and to several lower ones in turn", (t) => {
    const waiting = [
        request("high", "a"),
        request("middle", "b", { organisationPriority: 1 }),
        request("low", "c", { organisationPriority: 2 }),
    ];
    const order = play(OrganisationTurns.create(), waiting, 80);
    const count = (key: string): number => order.filter((one) => one === key).length;
    t.is(count("high"), 60);
    t.true(Math.abs(count("middle") - count("low")) <= 2, order.join(" "));
});

// Load: an organisation sends only requests of a less urgent route while more urgent ones of another wait all the time.
test("one of four starts goes to the organisation with the least use, whatever the priority of its route", (t) => {
    const order = play(OrganisationTurns.create(), [request("urgent", "a", { priority: 0 }), request("other", "b", { priority: 2 })], 40);
    t.is(order.filter((key) => key === "other").length, 10);
});

test("requests without an organisation are left to the caller", (t) => {
    const turns = OrganisationTurns.create();
    t.is(turns.takeNext([request("call", "")], 0, SERVICE_MS), undefined);
});

test("the starts ahead of waiting requests are those of the calls and of the requests in order", (t) => {
    const turns = OrganisationTurns.create();
    const waiting = [request("call", ""), request("a1", "a"), request("a2", "a"), request("low", "b", { organisationPriority: 1 })];
    waiting.slice(1).forEach((one) => {
        turns.recordArrival(one, [], 0);
    });
    const startsAhead = turns.estimateStartsAhead(waiting, 0, SERVICE_MS);
    t.deepEqual(waiting.map((one) => startsAhead.get(one)?.toFixed(2)), [undefined, "1.00", "2.33", "3.67"]);
});

// Load: more urgent requests than the endpoint can serve keep coming. Guards against the admission of a request that they will overtake.
test("the estimate allows for more urgent requests that are still to come, and for the turns of the less urgent", (t) => {
    const turns = OrganisationTurns.create();
    const urgent = request("urgent", "a", { priority: 0 });
    const waiting = [request("b1", "b", { targetAtMs: 4_000 }), request("b2", "b")];
    const [first = urgent, second = urgent] = waiting;
    turns.recordArrival(urgent, [], 0);
    waiting.forEach((one) => {
        turns.recordArrival(one, [], 0);
    });
    const before = turns.estimateStartsAhead(waiting, 0, SERVICE_MS);
    t.deepEqual([before.get(first), before.get(second)], [0, 1]);
    for (let index = 0; index < 6; index += 1) {
        turns.recordStart(urgent, 0);
    }
    turns.recordStart(first, 0);
    turns.recordStart(second, 0);
    const alone = turns.estimateStartsAhead(waiting, 0, SERVICE_MS);
    t.deepEqual([alone.get(first), alone.get(second)], [3, 7]);
    const together = turns.estimateStartsAhead([urgent, ...waiting], 0, SERVICE_MS);
    t.deepEqual([together.get(urgent), together.get(first), together.get(second)], [0, 0, 4]);
});
