import test from "ava";
import { createLoadReport } from "../../../test/fixtures/createLoadReport.js";
import { SILENT_STATEMENT } from "../../../test/fixtures/silentStatement.js";
import { nowMs } from "../../clock/nowMs/index.js";
import { EndpointPhase } from "../../decisions/fleet/EndpointPhase.js";
import { Item } from "../../decisions/items/Item.js";
import { ItemKind } from "../../decisions/items/ItemKind.js";
import { itemKey } from "../../decisions/items/itemKey/index.js";
import { RouteTable } from "../../decisions/items/RouteTable/index.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { RequestKind } from "../../model/RequestKind.js";
import { GateReply } from "../../tunnel/GateReply.js";
import { GateReplyKind } from "../../tunnel/GateReplyKind.js";
import { CallerDialect } from "../CallerDialect.js";
import { CallerExchange } from "../CallerExchange.js";
import { CallerResponse } from "../CallerResponse.js";
import { FleetView } from "../FleetView/index.js";
import { RequestDispatcher } from "./index.js";

const VM = "vm-1";
const ANSWER: GateReply = { kind: GateReplyKind.Answered, answer: { status: 200, headers: [], body: Buffer.from("ok") }, load: undefined };
const ROUTE: Item = {
    kind: ItemKind.Route,
    name: "r",
    host: "a.example",
    pathPrefix: "/",
    requestKind: RequestKind.Once,
    timeoutMs: 60_000,
    targetLatencyMs: 30_000,
    priority: 1,
    maxAttempts: 1,
    services: [{ service: "s", weight: 1 }],
};

const DIALECT: CallerDialect = {
    readMetadata: () => ({ requestId: "", patienceMs: undefined }),
    forwardedHeaders: (headers) => headers,
    ownResponseHeaders: () => [],
    readStatement: () => SILENT_STATEMENT,
    isGenuine: () => true,
};

/** Sends a request through a dispatcher whose only gate answers at once, and returns the responses and the logged errors. */
function dispatch(dialect: Partial<CallerDialect>): { readonly responses: readonly CallerResponse[]; readonly errorCount: number } {
    const events = EventLog.create(VM, undefined);
    const localGate = {
        offer: (_offer: unknown, onReply: (reply: GateReply) => void) => {
            onReply({ kind: GateReplyKind.Started });
            onReply(ANSWER);
            return { cancel: () => undefined, confirm: () => undefined };
        },
    };
    const openTunnel = (): never => {
        throw new Error("there is no other gate");
    };
    const fleetView = FleetView.create({ vm: VM, failureDomain: "a", localGate, openTunnel }, events);
    const endpoint = { id: "i-1", bornAtMs: 1, sequence: 1, service: "s", phase: EndpointPhase.Ready, slots: 5, coldRemainingMs: 0 };
    fleetView.mergeRecords([{ vm: VM, failureDomain: "a", gateAddress: "", run: 1, sequence: 1, isOpen: true, endpoint, limitPerSecond: undefined }]);
    fleetView.applyLoad({ ...createLoadReport(VM), vm: VM });
    const dispatcher = RequestDispatcher.create({
        entryRun: "run-1",
        dialect: { ...DIALECT, ...dialect },
        onStrike: () => undefined,
        onStrikesCleared: () => undefined,
        callOfRepeatShare: () => 0,
        callerService: () => "c",
    }, fleetView, events);
    dispatcher.setRouteTable(RouteTable.create([{ key: itemKey(ItemKind.Route, "r"), version: 1, document: "", content: ROUTE }]));
    const responses: CallerResponse[] = [];
    const exchange: CallerExchange = {
        request: {
            method: "POST",
            path: "/",
            host: "a.example",
            headers: [],
            body: Buffer.alloc(0),
            hasBody: false,
            requestId: "1",
            patienceMs: undefined,
            arrivedAtMs: nowMs(),
        },
        respond: (response) => responses.push(response),
        onDisconnect: () => undefined,
    };
    dispatcher.dispatch(exchange);
    const errorCount = events.find("unexpected").filter(({ event }) => event === EventNumber.UnexpectedError).length;
    fleetView.close();
    return { responses, errorCount };
}

const failUnexpectedly = (): never => {
    throw new Error("unexpected");
};

test("the answer of a gate is passed on to the caller", (t) => {
    t.deepEqual(dispatch({}).responses.map(({ status, body }) => [status, body.toString()]), [[200, "ok"]]);
});

// Guards against callers without any answer: the timers of a request are gone once its state machine has finished.
test("an unexpected error while an answer is delivered ends the request with a failure at once", (t) => {
    const { responses, errorCount } = dispatch({ isGenuine: failUnexpectedly });
    t.deepEqual(responses.map(({ status }) => status), [502]);
    t.is(errorCount, 1);
});

test("an unexpected error while a reply is observed ends the request with a failure at once", (t) => {
    const { responses, errorCount } = dispatch({ readStatement: failUnexpectedly });
    t.deepEqual(responses.map(({ status }) => status), [502]);
    t.is(errorCount, 1);
});
