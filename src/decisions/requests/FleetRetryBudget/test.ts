import test from "ava";
import { createRandom } from "../../../../bench/soak/createRandom/index.js";
import { FleetRetryBudget } from "./index.js";

const TERMS = { windowMs: 10_000, ratio: 0.2, slack: 60 };

function withdraw(budget: FleetRetryBudget, gates: number, nowMs: number): boolean {
    const isAllowed = budget.allowsRepeat(gates, nowMs);
    if (isAllowed) {
        budget.countRepeat(nowMs);
    }
    return isAllowed;
}

test("the gates of a service stay within the shared budget in any window, however the requests fall", (t) => {
    const gates = 30;
    const budgets = Array.from({ length: gates }, () => FleetRetryBudget.create(TERMS));
    const requests: number[] = [];
    const repeats: number[] = [];
    for (let atMs = 0; atMs < 40_000; atMs += 10) {
        const isBusy = Math.floor(atMs / 7_000) % 2 === 0;
        budgets.forEach((budget, index) => {
            if (isBusy && (atMs / 10 + index) % 30 === 0) {
                budget.countRequest(0, atMs);
                requests.push(atMs);
            }
            if (withdraw(budget, gates, atMs)) {
                repeats.push(atMs);
            }
        });
    }
    for (let fromMs = 0; fromMs < 30_000; fromMs += 500) {
        const within = (times: readonly number[], startMs: number): number =>
            times.filter((atMs) => atMs >= startMs && atMs < startMs + TERMS.windowMs).length;
        const counted = Math.max(within(requests, fromMs), within(requests, fromMs - 5_000), within(requests, fromMs - 10_000));
        t.true(within(repeats, fromMs) <= TERMS.ratio * counted + TERMS.slack);
    }
    t.true(repeats.length > 0);
});

test("calls made by repeated work use up the budget of the service that they go to", (t) => {
    const callsForRepeat = 1.4;
    const gates = 18;
    const callers = Array.from({ length: 9 }, () => FleetRetryBudget.create(TERMS));
    const called = Array.from({ length: gates }, () => FleetRetryBudget.create(TERMS));
    const counts = { requests: 0, repeats: 0 };
    for (let atMs = 0; atMs < TERMS.windowMs; atMs += 10) {
        callers.forEach((budget, index) => {
            if ((atMs / 10 + index) % 30 === 0) {
                budget.countRequest(0, atMs);
            }
            if (withdraw(budget, callers.length, atMs)) {
                called[(atMs / 10) % gates]?.countRequest(0.7, atMs);
                called[(atMs / 10 + 1) % gates]?.countRequest(0.7, atMs);
                counts.requests += callsForRepeat;
                counts.repeats += callsForRepeat;
            }
        });
        called.forEach((budget, index) => {
            if ((atMs / 10 + index) % 18 === 0) {
                budget.countRequest(0, atMs);
                counts.requests += 1;
            }
            counts.repeats += withdraw(budget, gates, atMs) ? 1 : 0;
        });
    }
    const allowed = TERMS.ratio * counts.requests + TERMS.slack;
    t.true(counts.repeats <= allowed, `${Math.round(counts.repeats)} of ${Math.round(allowed)}`);
});

test("nine gates repeat more of what a third of the endpoints fail than forty entries with budgets of their own", (t) => {
    const play = (budgetCount: number): number => {
        const random = createRandom(11);
        const draw = (): FleetRetryBudget | undefined => budgets[Math.floor(random() * budgetCount)];
        const budgets = Array.from({ length: budgetCount }, () => FleetRetryBudget.create(TERMS));
        let repeated = 0;
        for (let request = 0; request < 1_200; request += 1) {
            const atMs = request * 25;
            draw()?.countRequest(0, atMs);
            const other = draw();
            repeated += request % 3 === 0 && other !== undefined && withdraw(other, budgetCount, atMs) ? 1 : 0;
        }
        return repeated;
    };
    t.true(play(9) > 1.1 * play(40), `${play(9)} against ${play(40)}`);
});
