import test from "ava";
import { createLoadReport } from "../../../../test/fixtures/createLoadReport.js";
import { RefusalCause } from "../../../model/RefusalCause.js";
import { RequestKind } from "../../../model/RequestKind.js";
import { GateReply } from "../../../tunnel/GateReply.js";
import { GateReplyKind } from "../../../tunnel/GateReplyKind.js";
import { EndpointPhase } from "../../fleet/EndpointPhase.js";
import { Grade } from "../../fleet/Grade.js";
import { PlacementCandidate } from "../../placement/PlacementCandidate.js";
import { ProbeDemand } from "../../outliers/ProbeDemand.js";
import { CallerKind } from "../CallerKind.js";
import { DispatchEffect } from "../DispatchEffect.js";
import { DispatchEffectKind } from "../DispatchEffectKind.js";
import { DispatchEventKind } from "../DispatchEventKind.js";
import { DispatchFailure } from "../DispatchFailure.js";
import { DispatchDependencies } from "../DispatchDependencies.js";
import { DispatchMachine } from "./index.js";

const SERVICE_MS = 300;

function candidate(vm: string, grade = Grade.Trusted, trialWish = ProbeDemand.None): PlacementCandidate {
    const endpoint = {
        id: `i-${vm}`,
        bornAtMs: 1,
        sequence: 1,
        service: "s",
        phase: EndpointPhase.Ready,
        slots: 5,
        coldRemainingMs: 0,
    };
    return {
        record: { vm, failureDomain: "d", gateAddress: "a:1", run: 1, sequence: 1, isOpen: true, endpoint, limitPerSecond: undefined },
        load: createLoadReport(vm, { serviceMs: SERVICE_MS, grade, trialWish }),
        offersSinceReport: 0,
        isReachable: true,
        isCold: false,
        waitingMs: undefined,
        hasRefused: false,
    };
}

function create(
    requestKind: RequestKind,
    overrides: Partial<DispatchDependencies> = {},
    maxAttempts = 3,
    callerKind = CallerKind.Unknown,
): DispatchMachine {
    return DispatchMachine.create({ requestKind, callerKind, maxAttempts, deadlineAtMs: 4_000, targetAtMs: 1_500 }, {
        rank: () => [candidate("a"), candidate("b"), candidate("c")],
        shouldProbe: () => true,
        random: () => 0.5,
        serviceMs: SERVICE_MS,
        ...overrides,
    });
}

function begin(machine: DispatchMachine): DispatchEffect | undefined {
    return machine.step({ kind: DispatchEventKind.Begin }, 0)[0];
}

function reply(machine: DispatchMachine, attempt: number, gateReply: GateReply, nowMs = 10): readonly DispatchEffect[] {
    return machine.step({ kind: DispatchEventKind.Reply, attempt, reply: gateReply }, nowMs);
}

function refused(cause = RefusalCause.Busy, reachedEndpoint = false): GateReply {
    return { kind: GateReplyKind.Refused, cause, retryAfterMs: 200, reachedEndpoint, load: undefined };
}

function answered(status: number): GateReply {
    return { kind: GateReplyKind.Answered, answer: { status, headers: [], body: Buffer.alloc(0) }, load: undefined };
}

const STARTED: GateReply = { kind: GateReplyKind.Started };
const BROKEN: GateReply = { kind: GateReplyKind.Broken, problem: "reset", lostEndpoint: false };

function vmOf(effect: DispatchEffect | undefined): string | undefined {
    return effect?.kind === DispatchEffectKind.Offer ? effect.vm : undefined;
}

test("a request that was refused before it ran is offered to another gate, whatever its kind", (t) => {
    const machine = create(RequestKind.Once);
    t.is(vmOf(begin(machine)), "a");
    t.is(vmOf(reply(machine, 1, refused())[0]), "b");
});

test("a non-repeatable request is not offered again once it may have run", (t) => {
    const machine = create(RequestKind.Once);
    begin(machine);
    reply(machine, 1, STARTED);
    const [effect] = reply(machine, 1, BROKEN);
    t.deepEqual(effect, { kind: DispatchEffectKind.Fail, failure: DispatchFailure.OutcomeUnknown, problem: "reset" });
});

test("a non-repeatable request delivers the error answer of its endpoint", (t) => {
    const machine = create(RequestKind.Once);
    begin(machine);
    reply(machine, 1, STARTED);
    t.is(reply(machine, 1, answered(500))[0]?.kind, DispatchEffectKind.Deliver);
});

test("a request that an endpoint shed is offered again, and its arrival at that endpoint is counted", (t) => {
    const machine = create(RequestKind.Once);
    begin(machine);
    reply(machine, 1, STARTED);
    t.is(vmOf(reply(machine, 1, refused(RefusalCause.Shed, true))[0]), "b");
    t.is(machine.arrivalCount, 1);
});

test("an attempt whose connection could not be opened does not count as an arrival", (t) => {
    const machine = create(RequestKind.Once);
    begin(machine);
    reply(machine, 1, STARTED);
    t.is(vmOf(reply(machine, 1, refused(RefusalCause.Unreachable))[0]), "b");
    t.is(machine.arrivalCount, 0);
});

test("a repeatable request that failed is retried on other endpoints, up to the maximum attempts of its route", (t) => {
    const machine = create(RequestKind.Repeatable, {}, 2);
    begin(machine);
    reply(machine, 1, STARTED);
    t.is(vmOf(reply(machine, 1, answered(500))[0]), "b");
    reply(machine, 2, STARTED);
    const [last] = reply(machine, 2, answered(500));
    t.is(last?.kind, DispatchEffectKind.Deliver);
    t.is(machine.arrivalCount, 2);
});

test("the error answer is delivered if no gate has retry budget left", (t) => {
    const machine = create(RequestKind.Repeatable);
    begin(machine);
    reply(machine, 1, STARTED);
    let [effect] = reply(machine, 1, answered(500));
    const offeredVms = new Set<string>();
    for (let attempt = 2; effect?.kind === DispatchEffectKind.Offer; attempt += 1) {
        t.true(effect.terms.isRepeat);
        offeredVms.add(effect.vm);
        [effect] = reply(machine, attempt, refused(RefusalCause.RetryBudget));
    }
    t.is(effect?.kind, DispatchEffectKind.Deliver);
    t.deepEqual([...offeredVms], ["b", "c"]);
});

test("a retry goes to a trusted endpoint although a doubted one is free", (t) => {
    const rank = (): readonly PlacementCandidate[] =>
        [candidate("a"), candidate("gray", Grade.Doubted, ProbeDemand.Repeatable), candidate("c")];
    const machine = create(RequestKind.Repeatable, { rank, shouldProbe: () => false });
    begin(machine);
    reply(machine, 1, STARTED);
    t.is(vmOf(reply(machine, 1, answered(500))[0]), "c");
});

test("a request whose answer is slow is hedged, and the first answer wins", (t) => {
    const machine = create(RequestKind.Repeatable);
    begin(machine);
    const [arm] = reply(machine, 1, STARTED);
    t.is(arm?.kind, DispatchEffectKind.ScheduleHedge);
    const [hedge] = machine.step({ kind: DispatchEventKind.HedgeDue, attempt: 1 }, 900);
    t.is(vmOf(hedge), "b");
    reply(machine, 2, STARTED, 901);
    const effects = reply(machine, 2, answered(200), 1_200);
    t.is(effects[0]?.kind, DispatchEffectKind.Deliver);
    t.deepEqual(effects[1], { kind: DispatchEffectKind.Cancel, attempt: 1 });
});

test("a non-repeatable request is never hedged", (t) => {
    const machine = create(RequestKind.Once);
    begin(machine);
    t.deepEqual(reply(machine, 1, STARTED), []);
    t.deepEqual(machine.step({ kind: DispatchEventKind.HedgeDue, attempt: 1 }, 900), []);
});

test("when all gates refuse, the caller gets a refusal with a retry-after time at once", (t) => {
    const machine = create(RequestKind.Once);
    begin(machine);
    let effects: readonly DispatchEffect[] = [];
    for (let attempt = 1; attempt < 10 && !machine.isFinished; attempt += 1) {
        effects = reply(machine, attempt, refused());
    }
    t.deepEqual(effects, [{ kind: DispatchEffectKind.Refuse, cause: RefusalCause.Busy, retryAfterMs: 200 }]);
});

// Guards against callers that were refused together and return together.
test("the retry-after time of a refusal is spread for callers with an organisation, and is never less than the time until there is room", (t) => {
    const retryAfterMs = (callerKind: CallerKind, random: number): number | undefined => {
        const machine = create(RequestKind.Once, { random: () => random }, 3, callerKind);
        begin(machine);
        let [effect]: readonly DispatchEffect[] = [];
        for (let attempt = 1; attempt < 10 && !machine.isFinished; attempt += 1) {
            [effect] = reply(machine, attempt, refused());
        }
        return effect?.kind === DispatchEffectKind.Refuse ? effect.retryAfterMs : undefined;
    };
    t.is(retryAfterMs(CallerKind.Organisation, 0), 200);
    t.is(retryAfterMs(CallerKind.Organisation, 0.5), 250);
    t.is(retryAfterMs(CallerKind.Unknown, 0.5), 200);
});

test("a request is offered to a queue only after offers for free slots were refused", (t) => {
    const machine = create(RequestKind.Once);
    const offers = [begin(machine)];
    for (let attempt = 1; attempt <= 3; attempt += 1) {
        offers.push(reply(machine, attempt, refused())[0]);
    }
    const maxQueueTimes = offers.map((effect) => effect?.kind === DispatchEffectKind.Offer ? effect.terms.maxQueueMs : undefined);
    t.deepEqual(maxQueueTimes.slice(0, 3), [0, 0, 0]);
    t.true((maxQueueTimes[3] ?? 0) > 1_000);
});

test("a download queues at the best-ranked gate although another one has a free slot", (t) => {
    const full = candidate("near");
    const busy = { ...full, load: full.load === undefined ? undefined : { ...full.load, running: 5 } };
    const rank = (): readonly PlacementCandidate[] => [busy, candidate("far")];
    const effect = begin(create(RequestKind.Download, { rank }));
    t.true(effect?.kind === DispatchEffectKind.Offer && effect.vm === "near" && effect.terms.maxQueueMs > 0);
    t.is(vmOf(begin(create(RequestKind.Repeatable, { rank }))), "far");
});

// Guards against large bodies that leave their failure domain for want of a slot, and against requests that are kept there in vain.
test("a request waits at the best-ranked gate for the preferred time at most, and goes to a free slot elsewhere if that is refused", (t) => {
    const near = candidate("near");
    const full = { ...near, load: near.load === undefined ? undefined : { ...near.load, running: 5 }, preferredWaitMs: 450 };
    const rank = (): readonly PlacementCandidate[] => [full, candidate("far")];
    const machine = create(RequestKind.Once, { rank });
    const effect = begin(machine);
    t.true(effect?.kind === DispatchEffectKind.Offer && effect.vm === "near" && effect.terms.maxQueueMs === 450);
    t.is(vmOf(reply(machine, 1, refused())[0]), "far");
    t.is(vmOf(begin(create(RequestKind.Once, { rank: () => [{ ...full, preferredWaitMs: 0 }, candidate("far")] }))), "far");
});

// Guards against probes whose bodies cross between failure domains while the entries there can send one.
test("a request does not probe an endpoint that is costly to probe", (t) => {
    const waiting = { ...candidate("gray", Grade.Doubted, ProbeDemand.Any), waitingMs: 900 };
    t.is(vmOf(begin(create(RequestKind.Once, { rank: () => [candidate("a"), waiting] }))), "gray");
    t.is(vmOf(begin(create(RequestKind.Once, { rank: () => [candidate("a"), { ...waiting, isCostlyToProbe: true }] }))), "a");
});

test("an ejected endpoint gets a repeatable request as a probe, but no non-repeatable one", (t) => {
    const rank = (): readonly PlacementCandidate[] => [candidate("a"), candidate("gray", Grade.Ejected, ProbeDemand.Repeatable)];
    t.is(vmOf(begin(create(RequestKind.Repeatable, { rank }))), "gray");
    t.is(vmOf(begin(create(RequestKind.Once, { rank }))), "a");
});

test("a request that has only one attempt is not used as a probe", (t) => {
    const rank = (): readonly PlacementCandidate[] => [candidate("a"), candidate("gray", Grade.Ejected, ProbeDemand.Repeatable)];
    t.is(vmOf(begin(create(RequestKind.Repeatable, { rank }, 1))), "a");
});

test("an endpoint that accepts any request as a probe also gets a non-repeatable one", (t) => {
    const rank = (): readonly PlacementCandidate[] => [candidate("a"), candidate("gray", Grade.Ejected, ProbeDemand.Any)];
    t.is(vmOf(begin(create(RequestKind.Once, { rank }))), "gray");
});

test("of the gates that ask for a request, the one whose endpoint has waited longest gets it, although it ranks last", (t) => {
    const waiting = (vm: string, waitingMs: number, trialWish = ProbeDemand.Any): PlacementCandidate =>
        ({ ...candidate(vm, Grade.Ejected, trialWish), waitingMs });
    const rank = (): readonly PlacementCandidate[] => [candidate("a"), waiting("b", 900), waiting("c", 1_900), waiting("d", 1_400)];
    t.is(vmOf(begin(create(RequestKind.Once, { rank, shouldProbe: () => false }))), "c");
    const onlyRepeatable = (): readonly PlacementCandidate[] => [candidate("a"), waiting("b", 900, ProbeDemand.Repeatable)];
    t.is(vmOf(begin(create(RequestKind.Once, { rank: onlyRepeatable }))), "a");
    t.is(vmOf(begin(create(RequestKind.Repeatable, { rank: onlyRepeatable, shouldProbe: () => false }))), "b");
});

test("an ejected endpoint is the last resort when there is no other endpoint", (t) => {
    const machine = create(RequestKind.Once, { rank: () => [candidate("gray", Grade.Ejected)] });
    const effect = begin(machine);
    t.true(effect?.kind === DispatchEffectKind.Offer && effect.terms.isLastResort);
});

test("a request that is shed uses up no attempt of its route, and the number of endpoints that may shed it is limited", (t) => {
    const vms = ["a", "b", "c", "d", "e", "f", "g", "h"];
    const machine = create(RequestKind.Once, { rank: () => vms.map((vm) => candidate(vm)) }, 2);
    let effect = begin(machine);
    const offeredVms: string[] = [];
    for (let attempt = 1; effect?.kind === DispatchEffectKind.Offer; attempt += 1) {
        offeredVms.push(effect.vm);
        reply(machine, attempt, STARTED);
        [effect] = reply(machine, attempt, refused(RefusalCause.Shed, true));
    }
    t.true(offeredVms.length > 2 && offeredVms.length <= 5, offeredVms.join(" "));
    t.true(effect?.kind === DispatchEffectKind.Refuse && effect.cause === RefusalCause.Shed);
});

test("when the process stops, a queued request is refused, and one that may have run fails", (t) => {
    const waiting = create(RequestKind.Once);
    begin(waiting);
    reply(waiting, 1, { kind: GateReplyKind.Queued });
    const [refusal, cancel] = waiting.step({ kind: DispatchEventKind.Stop }, 50);
    t.true(refusal?.kind === DispatchEffectKind.Refuse && refusal.cause === RefusalCause.Stopping);
    t.deepEqual(cancel, { kind: DispatchEffectKind.Cancel, attempt: 1 });
    const running = create(RequestKind.Once);
    begin(running);
    reply(running, 1, STARTED);
    t.is(running.step({ kind: DispatchEventKind.Stop }, 50)[0]?.kind, DispatchEffectKind.Fail);
});

test("the attempts of a caller that disconnects are cancelled", (t) => {
    const machine = create(RequestKind.Repeatable);
    begin(machine);
    reply(machine, 1, STARTED);
    t.deepEqual(machine.step({ kind: DispatchEventKind.CallerDisconnected }, 50), [{ kind: DispatchEffectKind.Cancel, attempt: 1 }]);
});

test("at the deadline the request fails as timed out and is never refused", (t) => {
    const machine = create(RequestKind.Once);
    begin(machine);
    reply(machine, 1, STARTED);
    const [effect] = machine.step({ kind: DispatchEventKind.Deadline }, 4_000);
    t.true(effect?.kind === DispatchEffectKind.Fail && effect.failure === DispatchFailure.TimedOut);
});
