import test from "ava";
import { SILENT_STATEMENT } from "../../../../test/fixtures/silentStatement.js";
import { EndpointStatement } from "../../../backend/EndpointStatement.js";
import { StatedLimitKind } from "../../limits/StatedLimitKind.js";
import { EndpointNotices } from "./index.js";

const ENDPOINT = { id: "i-1", bornAtMs: 1 };
const LEAVING: EndpointStatement = { ...SILENT_STATEMENT, isLeaving: true };

function limited(perSecond: number): EndpointStatement {
    return { limit: { kind: StatedLimitKind.Rate, perSecond }, isLeaving: false };
}

test("a limit holds until a response to a later request names none", (t) => {
    const notices = EndpointNotices.create();
    notices.record(ENDPOINT, limited(2), 10);
    notices.record(ENDPOINT, SILENT_STATEMENT, 10);
    t.is(notices.limitOf(ENDPOINT), 2);
    notices.record(ENDPOINT, SILENT_STATEMENT, 11);
    t.is(notices.limitOf(ENDPOINT), undefined);
});

test("an endpoint that has stated that it leaves does not come back, although a late response says nothing of it", (t) => {
    const notices = EndpointNotices.create();
    notices.record(ENDPOINT, LEAVING, 10);
    notices.record(ENDPOINT, SILENT_STATEMENT, 20);
    t.true(notices.isLeaving(ENDPOINT));
});

test("what an endpoint has stated does not hold for its next run, nor for another endpoint", (t) => {
    const notices = EndpointNotices.create();
    notices.record(ENDPOINT, { ...limited(2), isLeaving: true }, 10);
    for (const other of [{ id: "i-1", bornAtMs: 2 }, { id: "i-2", bornAtMs: 1 }]) {
        t.false(notices.isLeaving(other));
        t.is(notices.limitOf(other), undefined);
    }
});

test("the endpoint that has stated something least recently is forgotten first", (t) => {
    const notices = EndpointNotices.create();
    for (let bornAtMs = 0; bornAtMs <= 2_048; bornAtMs += 1) {
        notices.record({ id: "i-1", bornAtMs }, LEAVING, 0);
        notices.record({ id: "i-1", bornAtMs: 0 }, LEAVING, 0);
    }
    t.true(notices.isLeaving({ id: "i-1", bornAtMs: 0 }));
    t.false(notices.isLeaving({ id: "i-1", bornAtMs: 1 }));
});
