import test from "ava";
import { encodeRequest } from "./index.js";

const REQUEST = { method: "PUT", path: "/a", headers: [["Host", "a.example"]] as const, requestId: "1" };

test("a request is encoded with the length of its body", (t) => {
    const pieces = encodeRequest({ ...REQUEST, body: Buffer.from("body"), hasBody: true });
    t.is(Buffer.concat(pieces).toString(), "PUT /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbody");
    const empty = encodeRequest({ ...REQUEST, body: Buffer.alloc(0), hasBody: true });
    t.is(Buffer.concat(empty).toString(), "PUT /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n");
    const without = encodeRequest({ ...REQUEST, body: Buffer.alloc(0), hasBody: false });
    t.is(Buffer.concat(without).toString(), "PUT /a HTTP/1.1\r\nHost: a.example\r\n\r\n");
});

// Guards against uploads that take twice their size while a backend server does not read them.
test("the body of a request is not copied", (t) => {
    const body = Buffer.alloc(100_000);
    t.is(encodeRequest({ ...REQUEST, body, hasBody: true })[1], body);
});
