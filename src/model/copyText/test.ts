import test from "ava";
import { measureHeldBytes } from "../../../test/fixtures/measureHeldBytes.js";
import { copyText } from "./index.js";

test("a text is cut, and otherwise kept character for character", (t) => {
    t.is(copyText("server-mood", 6), "server");
    t.is(copyText("a\u00d1\ud83d\ude00", 100), "a\u00d1\ud83d\ude00");
});

test("a copied part does not keep the text that it was a part of", (t) => {
    const heldBytes = measureHeldBytes(() => Array.from({ length: 100 }, (_value, index) =>
        copyText(Buffer.alloc(50_000, "x").toString("latin1").slice(index, index + 50), 50)));
    t.true(heldBytes < 100_000, `${heldBytes} bytes`);
});
