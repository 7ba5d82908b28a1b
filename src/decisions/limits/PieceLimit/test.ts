import test from "ava";
import { PieceLimit } from "./index.js";

function countPieces(bytes: number, maxPieces: number): number {
    const limit = PieceLimit.create();
    let count = 0;
    while (count < maxPieces && limit.tryAdd(bytes)) {
        count += 1;
    }
    return count;
}

test("a body in pieces of one byte ends after a bounded number of them", (t) => {
    t.true(countPieces(1, 1_000_000) < 20_000);
    t.true(countPieces(0, 1_000_000) < 20_000);
});

test("a body in pieces of usual size is not limited by their number", (t) => {
    t.is(countPieces(1_024, 200_000), 200_000);
    t.is(countPieces(16, 10_000), 10_000);
});
