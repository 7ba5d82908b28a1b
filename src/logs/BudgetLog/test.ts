import test from "ava";
import FakeTimers from "@sinonjs/fake-timers";
import { EventLog } from "../EventLog/index.js";
import { BudgetLog } from "./index.js";

test.serial("many refusals of one holder are logged at once and then once a second with their number", (t) => {
    const clock = FakeTimers.install();
    const events = EventLog.create("vm-1", undefined);
    const budgetLog = BudgetLog.create(events);
    for (let count = 0; count < 100; count += 1) {
        budgetLog.recordRefusal("request bodies", 90, 100, "10.0.0.1");
    }
    clock.tick(1_000);
    budgetLog.recordRefusal("request bodies", 95, 100);
    budgetLog.recordRefusal("responses", 1, 1);
    const lines = events.find("BudgetExceeded");
    t.deepEqual(lines.map(({ holder, refusals, held }) => ({ holder, refusals, held })), [
        { holder: "request bodies", refusals: 1, held: 90 },
        { holder: "request bodies", refusals: 100, held: 95 },
        { holder: "responses", refusals: 1, held: 1 },
    ]);
    clock.uninstall();
});
