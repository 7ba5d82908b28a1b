import test from "ava";
import { StatedLimit } from "../StatedLimit.js";
import { StatedLimitKind } from "../StatedLimitKind.js";
import { LatestLimit } from "./index.js";

const NONE: StatedLimit = { kind: StatedLimitKind.None };

function rate(perSecond: number): StatedLimit {
    return { kind: StatedLimitKind.Rate, perSecond };
}

test("a limit holds until a response to a later request names none", (t) => {
    const limit = LatestLimit.create();
    t.true(limit.apply(rate(3), 100));
    t.false(limit.apply(NONE, 50));
    t.false(limit.apply(NONE, 100));
    t.is(limit.perSecond, 3);
    t.true(limit.apply(NONE, 101));
    t.is(limit.perSecond, undefined);
});

test("a response to an earlier request does not replace the limit that a later one named", (t) => {
    const limit = LatestLimit.create();
    limit.apply(rate(3), 100);
    t.false(limit.apply(rate(9), 50));
    t.true(limit.apply(rate(2), 100));
    t.is(limit.perSecond, 2);
});

test("a limit that a late response names counts if there is none", (t) => {
    const limit = LatestLimit.create();
    limit.apply(NONE, 100);
    t.true(limit.apply(rate(3), 50));
});

test("an unreadable value neither sets nor ends a limit", (t) => {
    const limit = LatestLimit.create();
    t.false(limit.apply({ kind: StatedLimitKind.Unreadable }, 10));
    limit.apply(rate(3), 20);
    t.false(limit.apply({ kind: StatedLimitKind.Unreadable }, 30));
    t.is(limit.perSecond, 3);
});
