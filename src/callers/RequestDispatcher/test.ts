import test from "ava";
import { createLoadReport } from "../../../test/fixtures/createLoadReport.js";
import { SILENT_STATEMENT } from "../../../test/fixtures/silentStatement.js";
import { nowMs } from "../../clock/nowMs/index.js";
import { EndpointPhase } from "../../decisions/fleet/EndpointPhase.js";
import { Item } from "../../decisions/items/Item.js";
import { ItemKind } from "../../decisions/items/ItemKind.js";
import { itemKey } from "../../decisions/items/itemKey/index.js";
import { RouteTable } from "../../decisions/items/RouteTable/index.js";
import { QuotaDecision } from "../../decisions/quotas/QuotaDecision.js";
import { QuotaDecisionKind } from "../../decisions/quotas/QuotaDecisionKind.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { EventNumber } from "../../logs/EventNumber.js";
import { LogFields } from "../../logs/LogFields.js";
import { HeaderList } from "../../model/HeaderList.js";
import { RefusalCause } from "../../model/RefusalCause.js";
import { RequestKind } from "../../model/RequestKind.js";
import { WorkOffer } from "../../tunnel/WorkOffer.js";
import { GateReply } from "../../tunnel/GateReply.js";
import { GateReplyKind } from "../../tunnel/GateReplyKind.js";
import { CallerDialect } from "../CallerDialect.js";
import { CallerExchange } from "../CallerExchange.js";
import { CallerResponse } from "../CallerResponse.js";
import { FleetView } from "../FleetView/index.js";
import { QuotaPort } from "../QuotaPort.js";
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
    hasLargeBodies: false,
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

/** What a test changes about the dispatcher and its only gate. */
interface Setup {
    readonly quota?: QuotaPort;
    /** Replies of the gate to an offer. */
    readonly replies?: readonly GateReply[];
    /** Requests that the endpoint runs already. */
    readonly running?: number;
    /** Called once the request has been handed over. */
    readonly then?: (dispatcher: RequestDispatcher, disconnect: () => void) => void;
}

/** Sends a request through a dispatcher whose only gate answers at once; returns the responses, the offers and the logged errors. */
function dispatch(dialect: Partial<CallerDialect>, items: readonly Item[] = [ROUTE], apiKey?: string, setup: Setup = {}): Outcome {
    const events = EventLog.create(VM, undefined);
    const offers: WorkOffer[] = [];
    const localGate = {
        offer: (offer: WorkOffer, onReply: (reply: GateReply) => void) => {
            offers.push(offer);
            (setup.replies ?? [{ kind: GateReplyKind.Started }, ANSWER]).forEach((reply) => onReply(reply));
            return { cancel: () => undefined, confirm: () => undefined };
        },
    };
    const openTunnel = (): never => {
        throw new Error("there is no other gate");
    };
    const fleetView = FleetView.create({ vm: VM, failureDomain: "a", localGate, openTunnel }, events);
    const endpoint = { id: "i-1", bornAtMs: 1, sequence: 1, service: "s", phase: EndpointPhase.Ready, slots: 5, coldRemainingMs: 0 };
    fleetView.mergeRecords([{ vm: VM, failureDomain: "a", gateAddress: "", run: 1, sequence: 1, isOpen: true, endpoint, limitPerSecond: undefined }]);
    fleetView.applyLoad(createLoadReport(VM, { running: setup.running ?? 0 }));
    const dispatcher = RequestDispatcher.create({
        entryRun: "run-1",
        dialect: { ...DIALECT, ...dialect },
        onStrike: () => undefined,
        onStrikesCleared: () => undefined,
        callOfRepeatShare: () => 0,
        callerService: () => "c",
        quota: setup.quota,
    }, fleetView, events);
    dispatcher.setRouteTable(RouteTable.create(items.map((content) => ({ key: itemKey(content.kind, content.name), version: 1, document: "", content }))));
    const responses: CallerResponse[] = [];
    let disconnect = (): void => undefined;
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
        onDisconnect: (listener) => {
            disconnect = listener;
        },
    };
    dispatcher.dispatch(exchange);
    setup.then?.(dispatcher, disconnect);
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

const LIMITED: Item = { ...ORGANISATION, ratePerSecond: 10, burst: 10 };
const GRANTED: QuotaDecision = { kind: QuotaDecisionKind.Granted, expiresAtMs: 7 };
const REFUSED: QuotaDecision = { kind: QuotaDecisionKind.Refused, retryAfterMs: 1_234 };

class TestQuota implements QuotaPort {
    readonly asked: string[] = [];
    readonly returned: [string, number][] = [];
    readonly waiting: ((decision: QuotaDecision) => void)[] = [];

    constructor(private readonly decision?: QuotaDecision) {}

    acquire(organisation: { readonly name: string }, _deadlineAtMs: number, onDecision: (decision: QuotaDecision) => void): void {
        this.asked.push(organisation.name);
        if (this.decision === undefined) {
            this.waiting.push(onDecision);
        }
        else {
            onDecision(this.decision);
        }
    }

    giveBack(organisation: string, expiresAtMs: number): void {
        this.returned.push([organisation, expiresAtMs]);
    }
}

test("a request within the quota of its organisation runs and keeps its token", (t) => {
    const quota = new TestQuota(GRANTED);
    const { responses, offers } = dispatch({}, [ROUTE, LIMITED], "k-1", { quota });
    t.deepEqual([responses.map(({ status }) => status), offers.length, quota.asked, quota.returned], [[200], 1, ["org-1"], []]);
});

test("a request above the quota gets 429 with the time to return, and reaches no gate", (t) => {
    const ownResponseHeaders = (_requestId: string, retryAfterMs: number | undefined): HeaderList => [["Retry-After", String(retryAfterMs)]];
    const { responses, offers } = dispatch({ ownResponseHeaders }, [ROUTE, LIMITED], "k-1", { quota: new TestQuota(REFUSED) });
    t.deepEqual(responses.map(({ status, headers }) => [status, headers]), [[429, [["Retry-After", "1234"]]]]);
    t.is(offers.length, 0);
});

// Guards against limits on calls that running requests wait for, and on organisations without a limit.
for (const [name, route, organisation] of [
    ["on an exempt route", { ...ROUTE, isKeyExempt: true }, LIMITED],
    ["of an organisation without a limit", ROUTE, ORGANISATION],
    ["in a configuration without organisations", ROUTE, ROUTE],
] as const) {
    test(`a request ${name} needs no token`, (t) => {
        const quota = new TestQuota(REFUSED);
        t.deepEqual(dispatch({}, [route, organisation], "k-1", { quota }).responses.map(({ status }) => status), [200]);
        t.deepEqual(quota.asked, []);
    });
}

test("a request that is refused and has not run returns its token", (t) => {
    const quota = new TestQuota(GRANTED);
    const refusal: GateReply = { kind: GateReplyKind.Refused, cause: RefusalCause.Busy, reachedEndpoint: false, retryAfterMs: 100, load: undefined };
    const { responses } = dispatch({}, [ROUTE, LIMITED], "k-1", { quota, replies: [refusal] });
    t.deepEqual(responses.map(({ status }) => status), [503]);
    t.deepEqual(quota.returned, [["org-1", 7]]);
});

test("a request whose outcome is unknown does not return its token", (t) => {
    const quota = new TestQuota(GRANTED);
    const broken: GateReply = { kind: GateReplyKind.Broken, problem: "lost", lostEndpoint: false };
    const { responses } = dispatch({}, [ROUTE, LIMITED], "k-1", { quota, replies: [{ kind: GateReplyKind.Started }, broken] });
    t.deepEqual([responses.map(({ status }) => status), quota.returned], [[502], []]);
});

test("a request starts once its token has come", (t) => {
    const quota = new TestQuota();
    const { responses, offers } = dispatch({}, [ROUTE, LIMITED], "k-1", {
        quota,
        then: (dispatcher) => {
            t.is(dispatcher.activeCount, 1);
            quota.waiting.forEach((decide) => decide(GRANTED));
            t.is(dispatcher.activeCount, 0);
        },
    });
    t.deepEqual([responses.map(({ status }) => status), offers.length], [[200], 1]);
});

// Guards against a request that runs for a caller that has gone, and against the loss of its token.
test("a token that comes after the caller has disconnected is returned", (t) => {
    const quota = new TestQuota();
    const { responses, offers } = dispatch({}, [ROUTE, LIMITED], "k-1", {
        quota,
        then: (dispatcher, disconnect) => {
            disconnect();
            t.is(dispatcher.activeCount, 0);
            quota.waiting.forEach((decide) => decide(GRANTED));
        },
    });
    t.deepEqual([responses.length, offers.length, quota.returned], [0, 0, [["org-1", 7]]]);
});

// Guards against callers without an answer, and against work that starts after the process has said that it has not run.
test("a request that waits for its token when the process stops gets 503 and does not start", (t) => {
    const quota = new TestQuota();
    const { responses, offers } = dispatch({}, [ROUTE, LIMITED], "k-1", {
        quota,
        then: (dispatcher) => {
            dispatcher.finishAll();
            quota.waiting.forEach((decide) => decide(GRANTED));
        },
    });
    t.deepEqual([responses.map(({ status }) => status), offers.length, quota.returned], [[503], 0, [["org-1", 7]]]);
});

// Guards against calls of running requests that are refused for their latency target while organisations overload the endpoint.
test("only a call without an organisation, where there are some, may wait for half of its time although it misses its target", (t) => {
    const route: Item = { ...ROUTE, targetLatencyMs: 1_000, isKeyExempt: true };
    const maxQueueMs = (items: readonly Item[], apiKey?: string): number => dispatch({}, items, apiKey, { running: 5 }).offers[0]?.maxQueueMs ?? 0;
    t.true(maxQueueMs([route, ORGANISATION]) > 29_000);
    t.true(maxQueueMs([route, ORGANISATION], "k-1") <= 900);
    t.true(maxQueueMs([route]) <= 900);
});

test("the event of an answered request names its organisation, if it has one", (t) => {
    t.deepEqual(dispatch({}, [ROUTE, ORGANISATION], "k-1").answered.map(({ organisation }) => organisation), ["org-1"]);
    t.deepEqual(dispatch({}).answered.map(({ organisation }) => organisation), [undefined]);
});
