import test from "ava";
import * as fc from "fast-check";
import { parseBoundedJson } from "./index.js";

test("any JSON within the limit is parsed as JSON.parse does", (t) => {
    fc.assert(fc.property(fc.json(), (text) => {
        t.deepEqual(parseBoundedJson(text, 10_000), JSON.parse(text));
    }));
});

test("more values than the limit are refused before they are parsed", (t) => {
    for (const text of ["[1,2,3,4]", "[[[[0]]]]", "[{},{}]", "[[[[", "{\"a\":1,\"b\":2,\"c\":3,\"d\":4}"]) {
        t.throws(() => parseBoundedJson(text, 3), { message: "more than 3 values" }, text);
    }
});

test("commas and brackets in strings do not count", (t) => {
    t.is(parseBoundedJson("\"[,{,\\\",[\"", 0), "[,{,\",[");
    t.is(parseBoundedJson("\"\\\\\"", 0), "\\");
});
