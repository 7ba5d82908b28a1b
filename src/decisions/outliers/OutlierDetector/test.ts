import test from "ava";
import { createRandom } from "../../../../bench/soak/createRandom/index.js";
import { Grade } from "../../fleet/Grade.js";
import { ObservedOutcome } from "../ObservedOutcome.js";
import { OutlierDetector } from "./index.js";

test("one failure makes an endpoint doubted, and a second one ejects it", (t) => {
    const detector = OutlierDetector.create();
    t.is(detector.grade(0), Grade.Trusted);
    detector.observe(ObservedOutcome.Failure, 0, 0);
    t.is(detector.grade(0), Grade.Doubted);
    detector.observe(ObservedOutcome.Failure, 100, 100);
    t.is(detector.grade(100), Grade.Ejected);
});

test("two successful probes end an ejection", (t) => {
    const detector = OutlierDetector.create();
    detector.observe(ObservedOutcome.Failure, 0, 0);
    detector.observe(ObservedOutcome.Failure, 0, 0);
    detector.observe(ObservedOutcome.Success, 10, 10);
    detector.observe(ObservedOutcome.Success, 20, 20);
    t.true(detector.grade(20) < Grade.Ejected);
});

test("an ejected endpoint that gets no requests is trusted again after some time", (t) => {
    const detector = OutlierDetector.create();
    detector.observe(ObservedOutcome.Failure, 0, 0);
    detector.observe(ObservedOutcome.Failure, 0, 0);
    t.is(detector.grade(20_000), Grade.Trusted);
});

test("endpoints that fail one request in eighty are rarely ejected, and one that fails most requests is ejected after three on average", (t) => {
    const random = createRandom(7);
    let ejections = 0;
    for (let seed = 1; seed <= 200; seed += 1) {
        const detector = OutlierDetector.create();
        for (let request = 0; request < 150; request += 1) {
            const before = detector.grade(request * 200);
            detector.observe(random() < 0.012 ? ObservedOutcome.Failure : ObservedOutcome.Success, request * 200, request * 200);
            ejections += detector.grade(request * 200) === Grade.Ejected && before !== Grade.Ejected ? 1 : 0;
        }
    }
    t.true(ejections < 30, `${ejections} false ejections in 30,000 requests`);
    let requests = 0;
    for (let seed = 1; seed <= 200; seed += 1) {
        const detector = OutlierDetector.create();
        while (detector.grade(0) !== Grade.Ejected) {
            detector.observe(random() < 0.85 ? ObservedOutcome.Failure : ObservedOutcome.Success, 0, 0);
            requests += 1;
        }
    }
    t.true(requests / 200 <= 3, `${requests / 200} requests to detect`);
});

test("successes of requests that started before a failure do not lower the score, and those of later requests do", (t) => {
    const detector = OutlierDetector.create();
    detector.observe(ObservedOutcome.Failure, 1_000, 999);
    [500, 600, 700, 800].forEach((startedAtMs) => detector.observe(ObservedOutcome.Success, startedAtMs + 1_000, startedAtMs));
    t.is(detector.grade(1_800), Grade.Doubted);
    [1_100, 1_200].forEach((startedAtMs) => detector.observe(ObservedOutcome.Success, startedAtMs + 1_000, startedAtMs));
    t.is(detector.grade(2_200), Grade.Trusted);
});
