import test from "ava";
import { estimateHeaderBytes } from "./index.js";

// Guards against a process that runs out of memory by many short header fields, of which it counts only the characters.
test("many short fields count as more than one long field of the same characters", (t) => {
    const short = Array.from({ length: 1_000 }, (): [string, string] => ["a", "b"]);
    t.is(estimateHeaderBytes(short), 258_000);
    t.is(estimateHeaderBytes([["a".repeat(1_000), "b".repeat(1_000)]]), 2_256);
    t.is(estimateHeaderBytes([]), 0);
});
