import test from "ava";
import { RequestKind } from "../../../model/RequestKind.js";
import { Grade } from "../../fleet/Grade.js";
import { isBarredBy } from "./index.js";

test("a doubted endpoint gets work that may be repeated, and an ejected one none", (t) => {
    const isBarred = (grade: Grade, requestKind: RequestKind): boolean => isBarredBy(grade, { requestKind });
    t.deepEqual([Grade.Trusted, Grade.Doubted, Grade.Ejected].map((grade) => isBarred(grade, RequestKind.Once)), [false, true, true]);
    t.deepEqual([Grade.Trusted, Grade.Doubted, Grade.Ejected].map((grade) => isBarred(grade, RequestKind.Repeatable)), [false, false, true]);
});
