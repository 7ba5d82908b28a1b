import test from "ava";
import { bodyBytesOf } from "./index.js";

test("the size of a body is that of the one in the offer, or of the one that comes with the confirmation", (t) => {
    t.is(bodyBytesOf({ body: Buffer.from("ok") }), 2);
    t.is(bodyBytesOf({ body: Buffer.alloc(0), deferredBodyBytes: 20_000 }), 20_000);
});

test("a malformed size counts as none", (t) => {
    [{}, { body: "ok" }, { deferredBodyBytes: -1 }, { deferredBodyBytes: Number.NaN }, { deferredBodyBytes: "9" }].forEach((offer) => {
        t.is(bodyBytesOf(offer as Parameters<typeof bodyBytesOf>[0]), 0);
    });
});
