import FakeTimers from "@sinonjs/fake-timers";
import test from "ava";
import { EventLog } from "../EventLog/index.js";
import { EventNumber } from "../EventNumber.js";
import { ThrottledLog } from "./index.js";

test.serial("an event that occurs often is logged once a second, with the number of omitted lines", (t) => {
    const clock = FakeTimers.install({ toFake: ["performance"] });
    t.teardown(() => clock.uninstall());
    const lines: string[] = [];
    const log = ThrottledLog.create(EventLog.createUnfiltered("control-1", (line) => lines.push(line), () => undefined));
    for (let count = 0; count < 25; count += 1) {
        log.record(EventNumber.ElectionStarted, { term: count });
        clock.tick(100);
    }
    const fields = lines.map((line) => JSON.parse(line) as { readonly term: number; readonly omitted?: number });
    t.deepEqual(fields.map(({ term, omitted }) => [term, omitted]), [[0, undefined], [10, 9], [20, 9]]);
});

test.serial("each event has a limit of its own", (t) => {
    const clock = FakeTimers.install({ toFake: ["performance"] });
    t.teardown(() => clock.uninstall());
    const lines: string[] = [];
    const log = ThrottledLog.create(EventLog.createUnfiltered("control-1", (line) => lines.push(line), () => undefined));
    log.record(EventNumber.ElectionStarted, {});
    log.record(EventNumber.ElectionLost, {});
    t.is(lines.length, 2);
});
