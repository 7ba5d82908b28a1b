import test from "ava";
import { findFieldProblem } from "./index.js";

test("tokens as names, and values of visible characters, whitespace and bytes of other encodings have no problem", (t) => {
    t.is(findFieldProblem([["X-Author_1", "MU\xc3\x91OZ\t(a, b)"], ["Empty", ""]]), undefined);
});

test("a name that is not a token is a problem", (t) => {
    ["", "X(1)", "X Y", "X\x01", "X\xe9"].forEach((name) => {
        t.is(findFieldProblem([[name, "1"]]), `invalid name of the header field ${JSON.stringify(name)}`);
    });
});

test("a value with a control character, or with a character beyond one byte, is a problem", (t) => {
    ["\x00", "\x01", "\r\nA: b", "\x7f", "\u0100"].forEach((value) => {
        t.is(findFieldProblem([["X", value]]), "invalid value of the header field \"X\"");
    });
});
