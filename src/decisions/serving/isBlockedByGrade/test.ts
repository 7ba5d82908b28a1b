import test from "ava";
import { RequestKind } from "../../../model/RequestKind.js";
import { Grade } from "../../fleet/Grade.js";
import { isBlockedByGrade } from "./index.js";

test("a doubted endpoint gets only repeatable requests, and an ejected one none", (t) => {
    const isBlocked = (grade: Grade, requestKind: RequestKind): boolean => isBlockedByGrade(grade, { requestKind });
    t.deepEqual([Grade.Trusted, Grade.Doubted, Grade.Ejected].map((grade) => isBlocked(grade, RequestKind.Once)), [false, true, true]);
    t.deepEqual([Grade.Trusted, Grade.Doubted, Grade.Ejected].map((grade) => isBlocked(grade, RequestKind.Repeatable)), [false, false, true]);
});
