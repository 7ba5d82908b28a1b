import test from "ava";
import { chooseSubset } from "./index.js";

const gates = (count: number): readonly number[] => Array.from({ length: count }, (_unused, index) => index);

test("all gates of a small service are used", (t) => {
    t.is(chooseSubset(gates(18), () => false).length, 18);
});

test("only a few gates of a large service are used, however large it is", (t) => {
    t.is(chooseSubset(gates(80), () => true).length, 12);
    t.is(chooseSubset(gates(2_200), () => true).length, 12);
});

test("the subset grows until it contains usable gates", (t) => {
    t.is(chooseSubset(gates(132), (gate) => gate >= 12).length, 24);
    t.is(chooseSubset(gates(132), (gate) => gate >= 30).length, 48);
    t.is(chooseSubset(gates(132), () => false).length, 132);
});
