import test from "ava";
import { createRandom } from "../../../../bench/soak/createRandom/index.js";
import { Grade } from "../../fleet/Grade.js";
import { ObservedOutcome } from "../ObservedOutcome.js";
import { OutcomeTest } from "./index.js";

test("one failure is doubted and the second one ejects", (t) => {
    const outcomes = OutcomeTest.create();
    t.is(outcomes.grade(0), Grade.Trusted);
    outcomes.observe(ObservedOutcome.Failure, 0, 0);
    t.is(outcomes.grade(0), Grade.Doubted);
    outcomes.observe(ObservedOutcome.Failure, 100, 100);
    t.is(outcomes.grade(100), Grade.Ejected);
});

test("two successful trials lead back", (t) => {
    const outcomes = OutcomeTest.create();
    outcomes.observe(ObservedOutcome.Failure, 0, 0);
    outcomes.observe(ObservedOutcome.Failure, 0, 0);
    outcomes.observe(ObservedOutcome.Success, 10, 10);
    outcomes.observe(ObservedOutcome.Success, 20, 20);
    t.true(outcomes.grade(20) < Grade.Ejected);
});

test("an ejected endpoint that nothing is sent to is trusted again in the end", (t) => {
    const outcomes = OutcomeTest.create();
    outcomes.observe(ObservedOutcome.Failure, 0, 0);
    outcomes.observe(ObservedOutcome.Failure, 0, 0);
    t.is(outcomes.grade(20_000), Grade.Trusted);
});

test("endpoints that fail one request in eighty are hardly ever ejected, and one that fails most is within three requests", (t) => {
    const random = createRandom(7);
    let ejections = 0;
    for (let seed = 1; seed <= 200; seed += 1) {
        const outcomes = OutcomeTest.create();
        for (let request = 0; request < 150; request += 1) {
            const before = outcomes.grade(request * 200);
            outcomes.observe(random() < 0.012 ? ObservedOutcome.Failure : ObservedOutcome.Success, request * 200, request * 200);
            ejections += outcomes.grade(request * 200) === Grade.Ejected && before !== Grade.Ejected ? 1 : 0;
        }
    }
    t.true(ejections < 30, `${ejections} false ejections in 30,000 requests`);
    let requests = 0;
    for (let seed = 1; seed <= 200; seed += 1) {
        const outcomes = OutcomeTest.create();
        while (outcomes.grade(0) !== Grade.Ejected) {
            outcomes.observe(random() < 0.85 ? ObservedOutcome.Failure : ObservedOutcome.Success, 0, 0);
            requests += 1;
        }
    }
    t.true(requests / 200 <= 3, `${requests / 200} requests to detect`);
});

test("requests that were under way when an endpoint began to fail do not clear it, and later ones do", (t) => {
    const outcomes = OutcomeTest.create();
    outcomes.observe(ObservedOutcome.Failure, 1_000, 999);
    [500, 600, 700, 800].forEach((startedAtMs) => outcomes.observe(ObservedOutcome.Success, startedAtMs + 1_000, startedAtMs));
    t.is(outcomes.grade(1_800), Grade.Doubted);
    [1_100, 1_200].forEach((startedAtMs) => outcomes.observe(ObservedOutcome.Success, startedAtMs + 1_000, startedAtMs));
    t.is(outcomes.grade(2_200), Grade.Trusted);
});
