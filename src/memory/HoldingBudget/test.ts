import test from "ava";
import { Holder } from "../Holder.js";
import { HoldingClosure } from "../HoldingClosure.js";
import { HoldingBudget } from "./index.js";

const LIMIT_BYTES = 1_000;

interface Fixture {
    readonly budget: HoldingBudget;
    readonly closed: string[];
    readonly closures: HoldingClosure[];
    readonly clock: { nowMs: number };
    readonly hold: (name: string, heldBytes: number, unreadSinceMs: number) => void;
    /** Bytes of requests. */
    readonly requests: { bytes: number };
}

function createFixture(): Fixture {
    const clock = { nowMs: 10_000 };
    const closures: HoldingClosure[] = [];
    const closed: string[] = [];
    const holders = new Map<string, Holder>();
    const requests = { bytes: 0 };
    const budget = HoldingBudget.create(() => clock.nowMs, (closure) => closures.push(closure), LIMIT_BYTES);
    budget.add({ name: "requests", isRequests: true, readHeldBytes: () => requests.bytes, findHolders: () => [] });
    budget.add({
        name: "responses",
        isRequests: false,
        readHeldBytes: () => [...holders.values()].reduce((sum, { heldBytes }) => sum + heldBytes, 0),
        findHolders: () => [...holders.values()],
    });
    const hold = (name: string, heldBytes: number, unreadSinceMs: number): void => {
        const close = (): void => {
            closed.push(name);
            holders.delete(name);
        };
        holders.set(name, { heldBytes, unreadSinceMs, close });
    };
    return { budget, closed, closures, clock, hold, requests };
}

// Guards against a process that goes on holding more when its readers have stopped.
test("connections that have held most for longest are closed until the limit is kept", (t) => {
    const { budget, closed, hold } = createFixture();
    hold("large and reading", 600, 10_000);
    hold("small and old", 100, 0);
    hold("large and old", 400, 5_000);
    budget.check();
    t.deepEqual(closed, ["large and old"]);
    t.is(budget.heldBytes, 700);
});

// Guards against the loss of callers that read, at a process that has room.
test("nothing is closed up to the limit", (t) => {
    const { budget, closed, hold } = createFixture();
    hold("old", LIMIT_BYTES, 0);
    budget.check();
    t.deepEqual(closed, []);
});

test("pressure begins before the limit", (t) => {
    const { budget, hold } = createFixture();
    hold("a", 750, 0);
    t.false(budget.isUnderPressure);
    hold("b", 1, 0);
    t.true(budget.isUnderPressure);
});

// Guards against requests that take the room of the responses without which they do not end, and against a request that is never admitted.
test("requests take half of the limit, and unread responses none of it", (t) => {
    const { budget, hold, requests } = createFixture();
    t.true(budget.hasRoomForRequest(5_000));
    requests.bytes = 450;
    t.true(budget.hasRoomForRequest(50));
    t.false(budget.hasRoomForRequest(51));
    hold("unread", 900, 0);
    t.true(budget.hasRoomForRequest(50));
});

// Guards against a log that grows with the number of connections.
test("closed connections are reported together, at most once a second", (t) => {
    const { budget, closures, clock, hold } = createFixture();
    hold("a", 1_100, 9_000);
    budget.check();
    t.deepEqual(closures, [{ part: "responses", count: 1, bytes: 1_100, unreadMs: 1_000, held: 1_100, limit: LIMIT_BYTES }]);
    clock.nowMs += 500;
    hold("b", 1_200, 9_000);
    hold("c", 1_300, 9_000);
    budget.check();
    t.is(closures.length, 1);
    clock.nowMs += 500;
    budget.check();
    t.like(closures[1], { count: 2, bytes: 2_500, held: 2_500 });
});

// Guards against a search among all connections for each byte that is held.
test("growth above the limit is checked once, after the current turn", async (t) => {
    const { budget, closed, hold } = createFixture();
    hold("a", 2_000, 0);
    budget.recordGrowth();
    budget.recordGrowth();
    t.deepEqual(closed, []);
    await new Promise(setImmediate);
    t.deepEqual(closed, ["a"]);
});
