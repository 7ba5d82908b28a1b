import test from "ava";
import { Grade } from "../../fleet/Grade.js";
import { TrialWish } from "../TrialWish.js";
import { TrialPace } from "./index.js";

/** Time within which a sound endpoint has to get work, in ms. */
const FLOOR_WINDOW_MS = 2_000;

test("a trusted endpoint wants no trial, and a doubted one while it runs little", (t) => {
    const pace = TrialPace.create();
    pace.noteWork(Grade.Trusted, 0);
    t.is(pace.wish(Grade.Trusted, 0, 100), TrialWish.None);
    t.is(pace.wish(Grade.Doubted, 0, 100), TrialWish.Repeatable);
    t.is(pace.wish(Grade.Doubted, 2, 100), TrialWish.None);
});

test("an ejected endpoint is tried at least twice within the window of the floor", (t) => {
    const pace = TrialPace.create();
    let trials = 0;
    for (let atMs = 0; atMs < FLOOR_WINDOW_MS; atMs += 10) {
        if (pace.wish(Grade.Ejected, 0, atMs) !== TrialWish.None) {
            trials += 1;
            pace.noteWork(Grade.Ejected, atMs);
        }
    }
    t.true(trials >= 2 && trials <= 3, `${trials} trials`);
});

test("an endpoint that has had no work takes any work within the window of the floor", (t) => {
    const pace = TrialPace.create();
    pace.noteWork(Grade.Trusted, 0);
    t.is(pace.wish(Grade.Ejected, 0, 1_000), TrialWish.Repeatable);
    t.is(pace.wish(Grade.Ejected, 0, FLOOR_WINDOW_MS * 0.75), TrialWish.Any);
});
