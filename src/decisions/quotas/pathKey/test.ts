import test from "ava";
import { pathKey } from "./index.js";

test("paths to one control VM over a link and over different proxies have different keys", (t) => {
    const paths = [{ vm: "c-1" }, { vm: "c-1", relay: "p-1" }, { vm: "c-1", relay: "p-2" }, { vm: "c-2", relay: "p-1" }];
    t.is(new Set(paths.map(pathKey)).size, paths.length);
    t.is(pathKey({ vm: "c-1", relay: undefined }), "c-1");
});
