import test from "ava";
import { RequestKind } from "../../../model/RequestKind.js";
import { ServingRequest } from "../ServingRequest.js";
import { countAhead } from "./index.js";

function request(priority: number, targetAtMs: number): ServingRequest {
    const times = { deadlineAtMs: 10_000, maxQueueMs: 5_000 };
    const organisation = { organisation: "", organisationPriority: 0 };
    return { key: `${priority}-${targetAtMs}`, requestKind: RequestKind.Once, priority, targetAtMs, ...organisation, ...times, isTrial: false, isLastResort: false };
}

test("those of a higher priority, of an earlier target and equal ones are ahead of a request", (t) => {
    const waiting = [request(1, 5), request(0, 9), request(1, 5), request(2, 1), request(1, 4)];
    const ahead = countAhead(waiting);
    t.deepEqual(waiting.map((one) => ahead.get(one)), [3, 0, 3, 4, 1]);
    t.is(countAhead([]).size, 0);
});
