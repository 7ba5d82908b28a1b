import { install } from "@sinonjs/fake-timers";
import test from "ava";
import { EventLog } from "../../logs/EventLog/index.js";
import { StartWaits } from "./index.js";

const create = (): { readonly events: EventLog; readonly stopping: AbortController; readonly waits: StartWaits } => {
    const events = EventLog.create("vm-1", undefined);
    const stopping = new AbortController();
    return { events, stopping, waits: StartWaits.create(events, stopping.signal) };
};
const always = (): boolean => true;

test.serial("a step that fails for a while is repeated until it succeeds, and the log says so once and then every few seconds", async (t) => {
    const clock = install();
    t.teardown(() => clock.uninstall());
    const { events, waits } = create();
    let attempts = 0;
    const step = (): Promise<string> => {
        attempts += 1;
        return attempts <= 60 ? Promise.reject(new Error("in use")) : Promise.resolve("done");
    };
    const result = waits.retry("listening on a:1", step, always);
    await clock.tickAsync(4_900);
    t.deepEqual(events.find("StartDelayed").map(({ what, problem }) => [what, problem]), [["listening on a:1", "in use"]]);
    await clock.tickAsync(2_000);
    t.is(await result, "done");
    t.deepEqual([events.find("StartDelayed").length, clock.countTimers()], [2, 0]);
});

test.serial("a step that neither succeeds nor fails is reported, and its wait ends with the process", async (t) => {
    const clock = install();
    t.teardown(() => clock.uninstall());
    const { events, stopping, waits } = create();
    const result = waits.retry("the data folder", () => new Promise<void>(() => undefined), always);
    await clock.tickAsync(1_500);
    t.deepEqual(events.find("StartDelayed").map(({ what }) => what), ["the data folder"]);
    stopping.abort();
    await t.throwsAsync(result, { any: true });
    t.is(clock.countTimers(), 0);
});

test("an error that cannot pass, and a stop during a wait, end it at once", async (t) => {
    const { events, stopping, waits } = create();
    await t.throwsAsync(waits.retry("a", () => Promise.reject(new Error("corrupt")), () => false), { message: "corrupt" });
    t.deepEqual(events.find("StartDelayed"), []);
    const result = waits.retry("a", () => Promise.reject(new Error("in use")), always);
    setImmediate(() => stopping.abort());
    await t.throwsAsync(result, { any: true });
});
