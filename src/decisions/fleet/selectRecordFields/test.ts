import test from "ava";
import { EndpointPhase } from "../EndpointPhase.js";
import { selectRecordFields } from "./index.js";

test("fields that no record has are left out, with or without an endpoint", (t) => {
    const endpoint = { id: "i-1", bornAtMs: 1, sequence: 1, service: "s", phase: EndpointPhase.Ready, slots: 5, coldRemainingMs: 0 };
    const record = { vm: "a", failureDomain: "d", gateAddress: "a:1", run: 1, sequence: 1, isOpen: true, endpoint, limitPerSecond: 3 };
    const odd = { ...record, endpoint: { ...endpoint, size: 2n ** 90n }, self: {} };
    t.deepEqual(selectRecordFields(odd), record);
    t.deepEqual(selectRecordFields({ ...record, endpoint: undefined }), { ...record, endpoint: undefined });
});
