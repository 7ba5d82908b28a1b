import test from "ava";
import { RecentStarts } from "./index.js";

interface Kind {
    readonly organisation: string;
    readonly organisationPriority: number;
    readonly priority: number;
}

function kind(organisation: string, priority = 1): Kind {
    return { organisation, organisationPriority: 0, priority };
}

test("the share of the starts of a kind follows recent load and is forgotten with time", (t) => {
    const starts = RecentStarts.create();
    const isA = ({ organisation }: { readonly organisation: string }): boolean => organisation === "a";
    [0, 0, 0, 0].forEach((atMs) => {
        starts.record(kind("a"), atMs);
    });
    t.is(starts.share(isA, 2), 1);
    Array.from({ length: 12 }).forEach(() => {
        starts.record(kind("b"), 3);
    });
    t.true(Math.abs(starts.share(isA, 3) - 0.25) < 0.01);
    t.is(starts.share(isA, 60_000), 0);
    t.is(starts.size, 0);
});

// Guards against refusals by a share that one or two starts tell.
test("no share is told of fewer than three starts", (t) => {
    const starts = RecentStarts.create();
    starts.record(kind("a"), 0);
    starts.record(kind("a", 2), 0);
    t.is(starts.share(() => true, 0), 0);
});
