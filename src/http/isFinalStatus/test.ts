import test from "ava";
import { isFinalStatus } from "./index.js";

// Guards against a status that no caller can be answered with.
[200, 204, 404, 599].forEach((status) => {
    test(`${status} is the status of a final response`, (t) => {
        t.true(isFinalStatus(status));
    });
});

const OTHERS: readonly unknown[] = [0, 1, 99, 101, 199, 200.5, 600, 999, 1_000, 200_200, -20, Number.NaN, "200", "", 200n, undefined, null, [200], {}];

OTHERS.forEach((status, index) => {
    test(`value ${index + 1} of those that are no status is not taken for one`, (t) => {
        t.false(isFinalStatus(status));
    });
});
