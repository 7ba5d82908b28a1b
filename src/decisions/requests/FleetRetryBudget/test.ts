import test from "ava";
import { createRandom } from "../../../../bench/soak/createRandom/index.js";
import { FleetRetryBudget } from "./index.js";

const LIMITS = { windowMs: 10_000, ratio: 0.2, slack: 60 };

function tryRepeat(budget: FleetRetryBudget, gateCount: number, nowMs: number): boolean {
    const isAllowed = budget.canRepeat(gateCount, nowMs);
    if (isAllowed) {
        budget.countRepeat(nowMs);
    }
    return isAllowed;
}

test("the gates of a service stay within the shared budget in every window under bursty load", (t) => {
    const gateCount = 30;
    const budgets = Array.from({ length: gateCount }, () => FleetRetryBudget.create(LIMITS));
    const requests: number[] = [];
    const repeats: number[] = [];
    for (let atMs = 0; atMs < 40_000; atMs += 10) {
        const isBusy = Math.floor(atMs / 7_000) % 2 === 0;
        budgets.forEach((budget, index) => {
            if (isBusy && (atMs / 10 + index) % 30 === 0) {
                budget.countRequest(0, atMs);
                requests.push(atMs);
            }
            if (tryRepeat(budget, gateCount, atMs)) {
                repeats.push(atMs);
            }
        });
    }
    for (let windowStartMs = 0; windowStartMs < 30_000; windowStartMs += 500) {
        const countInWindow = (times: readonly number[], startMs: number): number =>
            times.filter((atMs) => atMs >= startMs && atMs < startMs + LIMITS.windowMs).length;
        const requestCount = Math.max(
            countInWindow(requests, windowStartMs),
            countInWindow(requests, windowStartMs - 5_000),
            countInWindow(requests, windowStartMs - 10_000),
        );
        t.true(countInWindow(repeats, windowStartMs) <= LIMITS.ratio * requestCount + LIMITS.slack);
    }
    t.true(repeats.length > 0);
});

test("calls made by repeated work are charged to the budget of the called service", (t) => {
    const callsPerRepeat = 1.4;
    const gateCount = 18;
    const callerBudgets = Array.from({ length: 9 }, () => FleetRetryBudget.create(LIMITS));
    const calledBudgets = Array.from({ length: gateCount }, () => FleetRetryBudget.create(LIMITS));
    const counts = { requests: 0, repeats: 0 };
    for (let atMs = 0; atMs < LIMITS.windowMs; atMs += 10) {
        callerBudgets.forEach((budget, index) => {
            if ((atMs / 10 + index) % 30 === 0) {
                budget.countRequest(0, atMs);
            }
            if (tryRepeat(budget, callerBudgets.length, atMs)) {
                calledBudgets[(atMs / 10) % gateCount]?.countRequest(0.7, atMs);
                calledBudgets[(atMs / 10 + 1) % gateCount]?.countRequest(0.7, atMs);
                counts.requests += callsPerRepeat;
                counts.repeats += callsPerRepeat;
            }
        });
        calledBudgets.forEach((budget, index) => {
            if ((atMs / 10 + index) % 18 === 0) {
                budget.countRequest(0, atMs);
                counts.requests += 1;
            }
            counts.repeats += tryRepeat(budget, gateCount, atMs) ? 1 : 0;
        });
    }
    const allowed = LIMITS.ratio * counts.requests + LIMITS.slack;
    t.true(counts.repeats <= allowed, `${Math.round(counts.repeats)} of ${Math.round(allowed)}`);
});

test("budgets at nine gates allow more retries than budgets at forty entries when a third of the requests fail", (t) => {
    const countRepeats = (budgetCount: number): number => {
        const random = createRandom(11);
        const pickBudget = (): FleetRetryBudget | undefined => budgets[Math.floor(random() * budgetCount)];
        const budgets = Array.from({ length: budgetCount }, () => FleetRetryBudget.create(LIMITS));
        let repeatCount = 0;
        for (let request = 0; request < 1_200; request += 1) {
            const atMs = request * 25;
            pickBudget()?.countRequest(0, atMs);
            const retryBudget = pickBudget();
            repeatCount += request % 3 === 0 && retryBudget !== undefined && tryRepeat(retryBudget, budgetCount, atMs) ? 1 : 0;
        }
        return repeatCount;
    };
    t.true(countRepeats(9) > 1.1 * countRepeats(40), `${countRepeats(9)} against ${countRepeats(40)}`);
});
