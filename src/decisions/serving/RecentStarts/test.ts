import test from "ava";
import { RecentStarts } from "./index.js";

test("starts are counted by organisation and priorities, and forgotten with time", (t) => {
    const starts = RecentStarts.create();
    const kind = { organisation: "a", organisationPriority: 1, priority: 2 };
    starts.record(kind, 0);
    starts.record(kind, 0);
    starts.record({ ...kind, priority: 0 }, 0);
    t.deepEqual(starts.list(0), [{ ...kind, count: 2 }, { ...kind, priority: 0, count: 1 }]);
    const [later] = starts.list(5_000);
    t.true(later !== undefined && Math.abs(later.count - 2 / Math.E) < 0.001);
    t.deepEqual(starts.list(60_000), []);
    t.is(starts.size, 0);
});
