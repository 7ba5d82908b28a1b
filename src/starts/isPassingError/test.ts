import test from "ava";
import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { isPassingError } from "./index.js";

const withCode = (code: string): Error => Object.assign(new Error(code), { code, syscall: "call" });

test("a held port, an absent address and a disk that refuses count as passing, also as the cause of an error", (t) => {
    for (const cause of ["EADDRINUSE", "EADDRNOTAVAIL", "EIO", "ENOTDIR", "EMFILE"].map(withCode)) {
        t.true(isPassingError(cause));
        t.true(isPassingError(FleetError.create({ step: Step.Listen, peer: "a", cause }, cause.message)));
    }
});

test("corrupt data and impossible settings do not count as passing", (t) => {
    t.false(isPassingError(FleetError.create({ step: Step.Storage, peer: "log" }, "the record at byte 0 is corrupt")));
    t.false(isPassingError(Object.assign(new RangeError("65536"), { code: "ERR_SOCKET_BAD_PORT" })));
});
