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

test("the places of waiting requests count the calls and the requests that start before them", (t) => {
    const turns = OrganisationTurns.create();
    const waiting = [request("call", ""), request("a1", "a"), request("a2", "a"), request("low", "b", { organisationPriority: 1 })];
    waiting.slice(1).forEach((one) => {
        turns.recordArrival(one, [], 0);
    });
    const places = turns.findPlaces(waiting, 0, SERVICE_MS);
    const placeOf = (index: number): unknown => places.get(waiting[index] ?? request("", ""));
    t.is(placeOf(0), undefined);
    t.deepEqual(placeOf(1), { byUrgency: 1, byTurn: Number.POSITIVE_INFINITY, overtakingShare: 0 });
    t.deepEqual(placeOf(2), { byUrgency: 1 + 4 / 3, byTurn: Number.POSITIVE_INFINITY, overtakingShare: 0 });
    t.deepEqual(placeOf(3), { byUrgency: 1 + 8 / 3, byTurn: 4, overtakingShare: 0 });
});
