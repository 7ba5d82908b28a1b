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
import { LogFields } from "../../logs/LogFields.js";
import { HeaderList } from "../../model/HeaderList.js";
import { RequestKind } from "../../model/RequestKind.js";
import { WorkOffer } from "../../tunnel/WorkOffer.js";
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
    isKeyExempt: false,
    services: [{ service: "s", weight: 1 }],
};

const DIALECT: CallerDialect = {
    readMetadata: () => ({ requestId: "", apiKey: undefined, patienceMs: undefined }),
    forwardedHeaders: (headers) => headers,
    identifiedHeaders: (headers) => headers,
    ownResponseHeaders: () => [],
    readStatement: () => SILENT_STATEMENT,
    isGenuine: () => true,
};

const ORGANISATION: Item = { kind: ItemKind.Organisation, name: "org-1", apiKeys: ["k-1"], priority: 3, ratePerSecond: 0, burst: 0 };

interface Outcome {
    readonly responses: readonly CallerResponse[];
    readonly offers: readonly WorkOffer[];
    readonly errorCount: number;
    /** Events of answered requests. */
    readonly answered: readonly LogFields[];
}

/** Sends a request through a dispatcher whose only gate answers at once; returns the responses, the offers and the logged errors. */
function dispatch(dialect: Partial<CallerDialect>, items: readonly Item[] = [ROUTE], apiKey?: string, running = 0): Outcome {
    const events = EventLog.create(VM, undefined);
    const offers: WorkOffer[] = [];
    const localGate = {
        offer: (offer: WorkOffer, onReply: (reply: GateReply) => void) => {
            offers.push(offer);
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
    fleetView.applyLoad(createLoadReport(VM, { running }));
    const dispatcher = RequestDispatcher.create({
        entryRun: "run-1",
        dialect: { ...DIALECT, ...dialect },
        onStrike: () => undefined,
        onStrikesCleared: () => undefined,
        callOfRepeatShare: () => 0,
        callerService: () => "c",
    }, fleetView, events);
    dispatcher.setRouteTable(RouteTable.create(items.map((content) => ({ key: itemKey(content.kind, content.name), version: 1, document: "", content }))));
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
            apiKey,
            patienceMs: undefined,
            arrivedAtMs: nowMs(),
        },
        respond: (response) => responses.push(response),
        onDisconnect: () => undefined,
    };
    dispatcher.dispatch(exchange);
    const errorCount = events.find("unexpected").filter(({ event }) => event === EventNumber.UnexpectedError).length;
    fleetView.close();
    return { responses, offers, errorCount, answered: events.find("RequestAnswered") };
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

test("a request with a key of an organisation runs for it", (t) => {
    const identifiedHeaders = (_headers: unknown, organisation: string | undefined): HeaderList => [["Tenant", organisation ?? ""]];
    const { responses, offers } = dispatch({ identifiedHeaders }, [ROUTE, ORGANISATION], "k-1");
    t.deepEqual(responses.map(({ status }) => status), [200]);
    t.deepEqual(offers.map(({ organisation, organisationPriority, headers }) => [organisation, organisationPriority, headers]), [
        ["org-1", 3, [["Tenant", "org-1"]]],
    ]);
});

for (const apiKey of ["unknown", "", undefined]) {
    test(`a request whose key is ${apiKey ?? "absent"} gets 401 and reaches no gate`, (t) => {
        const { responses, offers } = dispatch({}, [ROUTE, ORGANISATION], apiKey);
        t.deepEqual(responses.map(({ status, headers }) => [status, headers]), [[401, [["WWW-Authenticate", "Bearer"]]]]);
        t.is(offers.length, 0);
    });
}

test("a request on an exempt route needs no key", (t) => {
    const { responses, offers } = dispatch({}, [{ ...ROUTE, isKeyExempt: true }, ORGANISATION], "unknown");
    t.deepEqual(responses.map(({ status }) => status), [200]);
    t.deepEqual(offers.map(({ organisation, organisationPriority }) => [organisation, organisationPriority]), [["", 0]]);
});

// Guards against a change for deployments without organisations, whose endpoints get all header fields of their callers.
test("without organisations a request needs no key and keeps its header fields", (t) => {
    const { responses, offers } = dispatch({ identifiedHeaders: failUnexpectedly }, [ROUTE]);
    t.deepEqual(responses.map(({ status }) => status), [200]);
    t.deepEqual(offers.map(({ headers }) => headers), [[]]);
});

// Guards against calls of running requests that are refused for their latency target while organisations overload the endpoint.
test("only a call without an organisation, where there are some, may wait for half of its time although it misses its target", (t) => {
    const route: Item = { ...ROUTE, targetLatencyMs: 1_000, isKeyExempt: true };
    const maxQueueMs = (items: readonly Item[], apiKey?: string): number => dispatch({}, items, apiKey, 5).offers[0]?.maxQueueMs ?? 0;
    t.true(maxQueueMs([route, ORGANISATION]) > 29_000);
    t.true(maxQueueMs([route, ORGANISATION], "k-1") <= 900);
    t.true(maxQueueMs([route]) <= 900);
});

test("the event of an answered request names its organisation, if it has one", (t) => {
    t.deepEqual(dispatch({}, [ROUTE, ORGANISATION], "k-1").answered.map(({ organisation }) => organisation), ["org-1"]);
    t.deepEqual(dispatch({}).answered.map(({ organisation }) => organisation), [undefined]);
});
