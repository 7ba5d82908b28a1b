import test from "ava";
import { FleetRetryBudget } from "./index.js";

const TERMS = { windowMs: 10_000, ratio: 0.2, slack: 60 };

test("a fleet of nodes stays within the shared budget in any window, however the requests fall", (t) => {
    const nodes = 30;
    const budgets = Array.from({ length: nodes }, () => FleetRetryBudget.create(TERMS));
    const requests: number[] = [];
    const repeats: number[] = [];
    for (let atMs = 0; atMs < 40_000; atMs += 10) {
        const isBusy = Math.floor(atMs / 7_000) % 2 === 0;
        budgets.forEach((budget, index) => {
            if (isBusy && (atMs / 10 + index) % 30 === 0) {
                budget.countRequest("s", atMs);
                requests.push(atMs);
            }
            if (budget.withdraw("s", nodes, atMs)) {
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

test("repeats of one service whose calls are repeats at another keep that one within its budget too", (t) => {
    const nodes = 30;
    const callsForRepeat = 1.4;
    const budgets = Array.from({ length: nodes }, () => FleetRetryBudget.create(TERMS));
    const counts = { requests: 0, repeats: 0 };
    for (let atMs = 0; atMs < TERMS.windowMs; atMs += 10) {
        budgets.forEach((budget, index) => {
            if ((atMs / 10 + index) % 115 === 0) {
                budget.countRequest("caller", atMs);
            }
            if ((atMs / 10 + index) % 38 === 0) {
                budget.countRequest("called", atMs);
                counts.requests += 1;
            }
            counts.repeats += budget.withdraw("caller", nodes, atMs) ? callsForRepeat : 0;
            counts.repeats += budget.withdraw("called", nodes, atMs) ? 1 : 0;
        });
    }
    const allowed = TERMS.ratio * counts.requests + TERMS.slack;
    t.true(counts.repeats <= allowed, `${Math.round(counts.repeats)} of ${Math.round(allowed)}`);
});

test("services have budgets of their own", (t) => {
    const budget = FleetRetryBudget.create({ ...TERMS, slack: 0 });
    for (let request = 0; request < 50; request += 1) {
        budget.countRequest("a", 0);
    }
    t.true(budget.withdraw("a", 1, 0));
    t.false(budget.withdraw("b", 1, 0));
});
