import test from "ava";
import { isShortText } from "./index.js";

test("a name that is kept is a string of at most 255 characters", (t) => {
    t.deepEqual(["", "vm-1", "x".repeat(255), "x".repeat(256), 5, undefined].map(isShortText), [true, true, true, false, false, false]);
});
