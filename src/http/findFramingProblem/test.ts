import test from "ava";
import { findFramingProblem } from "./index.js";

test("a message without framing, with one readable length or with chunks has no problem", (t) => {
    t.is(findFramingProblem([], true), undefined);
    t.is(findFramingProblem([["Content-Length", "16"], ["content-length", "016"]], true), undefined);
    t.is(findFramingProblem([["Transfer-Encoding", "CHUNKED"]], true), undefined);
});

test("the problem names the field and its value", (t) => {
    t.is(findFramingProblem([["Content-Length", "1x"]], true), "unreadable Content-Length \"1x\"");
    t.is(findFramingProblem([["Content-Length", "1"], ["Content-Length", "2"]], true), "differing Content-Length fields 1 and 2");
    t.is(findFramingProblem([["Transfer-Encoding", "gzip"], ["Transfer-Encoding", "chunked"]], true), "unsupported Transfer-Encoding \"gzip, chunked\"");
    t.is(findFramingProblem([["Transfer-Encoding", "chunked"]], false), "Transfer-Encoding in a message of HTTP/1.0");
    t.is(findFramingProblem([["Transfer-Encoding", "chunked"], ["Content-Length", "1"]], true), "both Content-Length and Transfer-Encoding");
});
