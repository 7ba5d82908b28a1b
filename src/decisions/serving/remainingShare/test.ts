import test from "ava";
import { StartCount } from "../StartCount.js";
import { remainingShare } from "./index.js";

function start(priority: number, count: number): StartCount {
    return { organisation: "a", organisationPriority: 0, priority, count };
}

const isUrgent = ({ priority }: StartCount): boolean => priority === 0;

test("the share of the starts that others do not take remains, but never nothing", (t) => {
    t.is(remainingShare([start(0, 3), start(1, 1)], isUrgent), 0.25);
    t.is(remainingShare([start(1, 4)], isUrgent), 1);
    t.is(remainingShare([start(0, 100)], isUrgent), 0.05);
});

// Guards against refusals for a share that one or two starts tell.
test("nothing is concluded from fewer than three starts", (t) => {
    t.is(remainingShare([start(0, 2.9)], isUrgent), 1);
});
