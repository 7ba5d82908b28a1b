import { crc32 } from "node:zlib";
import test from "ava";
import { mixBits } from "./index.js";

test("the sums of mixed checksums tell pairs of similar texts apart, which those of the checksums do not", (t) => {
    const pairs = [["a@3", "b@3"], ["a@5", "b@5"]] as const;
    const xors = pairs.map(([first, second]) => crc32(first) ^ crc32(second));
    t.is(xors[0], xors[1]);
    const sums = pairs.map(([first, second]) => (mixBits(crc32(first)) + mixBits(crc32(second))) >>> 0);
    t.not(sums[0], sums[1]);
});

test("a mixed checksum is an unsigned 32-bit integer", (t) => {
    t.true([0, 1, 0x7fffffff, 0xffffffff].map(mixBits).every((mixed) => Number.isInteger(mixed) && mixed >= 0 && mixed <= 0xffffffff));
});
