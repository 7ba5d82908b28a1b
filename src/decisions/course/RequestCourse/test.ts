import test from "ava";
import { RefusalCause } from "../../../model/RefusalCause.js";
import { RequestKind } from "../../../model/RequestKind.js";
import { GateReply } from "../../../tunnel/GateReply.js";
import { GateReplyKind } from "../../../tunnel/GateReplyKind.js";
import { EndpointPhase } from "../../fleet/EndpointPhase.js";
import { Grade } from "../../fleet/Grade.js";
import { TrialWish } from "../../suspicion/TrialWish.js";
import { PlacementCandidate } from "../../placement/PlacementCandidate.js";
import { CourseEffect } from "../CourseEffect.js";
import { CourseEffectKind } from "../CourseEffectKind.js";
import { CourseEventKind } from "../CourseEventKind.js";
import { CourseFailure } from "../CourseFailure.js";
import { CoursePorts } from "../CoursePorts.js";
import { RequestCourse } from "./index.js";

const SERVICE_MS = 300;

function candidate(vm: string, grade = Grade.Trusted, trialWish = TrialWish.None): PlacementCandidate {
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
        record: { vm, failureDomain: "d", gateAddress: "a:1", run: 1, sequence: 1, isOpen: true, endpoint },
        load: { vm, running: 0, queued: 0, slots: 5, serviceMs: SERVICE_MS, grade, suspicion: 0, trialWish, shedShare: 0, isIdle: false },
        offeredSince: 0,
        isReachable: true,
        isCold: false,
        hasRefused: false,
    };
}

function create(requestKind: RequestKind, overrides: Partial<CoursePorts> = {}, maxAttempts = 3): RequestCourse {
    return RequestCourse.create({ requestKind, maxAttempts, deadlineAtMs: 4_000, targetAtMs: 1_500 }, {
        rank: () => [candidate("a"), candidate("b"), candidate("c")],
        drawTrial: () => true,
        serviceMs: SERVICE_MS,
        ...overrides,
    });
}

function begin(course: RequestCourse): CourseEffect | undefined {
    return course.step({ kind: CourseEventKind.Begin }, 0)[0];
}

function reply(course: RequestCourse, attempt: number, given: GateReply, nowMs = 10): readonly CourseEffect[] {
    return course.step({ kind: CourseEventKind.Reply, attempt, reply: given }, nowMs);
}

function refused(cause = RefusalCause.Busy, reachedEndpoint = false): GateReply {
    return { kind: GateReplyKind.Refused, cause, retryAfterMs: 200, reachedEndpoint, load: undefined };
}

function answered(status: number): GateReply {
    return { kind: GateReplyKind.Answered, answer: { status, headers: [], body: Buffer.alloc(0) }, load: undefined };
}

const STARTED: GateReply = { kind: GateReplyKind.Started };
const BROKEN: GateReply = { kind: GateReplyKind.Broken, problem: "reset", lostEndpoint: false };

function vmOf(effect: CourseEffect | undefined): string | undefined {
    return effect?.kind === CourseEffectKind.Offer ? effect.vm : undefined;
}

test("a request that was refused without having run goes to another gate, whatever its kind", (t) => {
    const course = create(RequestKind.Once);
    t.is(vmOf(begin(course)), "a");
    t.is(vmOf(reply(course, 1, refused())[0]), "b");
});

test("work that must not be repeated is not offered again once it may have run", (t) => {
    const course = create(RequestKind.Once);
    begin(course);
    reply(course, 1, STARTED);
    const [effect] = reply(course, 1, BROKEN);
    t.deepEqual(effect, { kind: CourseEffectKind.Fail, failure: CourseFailure.OutcomeUnknown, problem: "reset" });
});

test("work that must not be repeated keeps the failed answer of its endpoint", (t) => {
    const course = create(RequestKind.Once);
    begin(course);
    reply(course, 1, STARTED);
    t.is(reply(course, 1, answered(500))[0]?.kind, CourseEffectKind.Deliver);
});

test("work that an endpoint shed may be offered again, and counts as an arrival", (t) => {
    const course = create(RequestKind.Once);
    begin(course);
    reply(course, 1, STARTED);
    t.is(vmOf(reply(course, 1, refused(RefusalCause.Shed, true))[0]), "b");
    t.is(course.arrivalCount, 1);
});

test("a start whose connection could not be opened is no arrival", (t) => {
    const course = create(RequestKind.Once);
    begin(course);
    reply(course, 1, STARTED);
    t.is(vmOf(reply(course, 1, refused(RefusalCause.Unreachable))[0]), "b");
    t.is(course.arrivalCount, 0);
});

test("a repeatable request that failed is repeated elsewhere, up to the attempts of its route", (t) => {
    const course = create(RequestKind.Repeatable, {}, 2);
    begin(course);
    reply(course, 1, STARTED);
    t.is(vmOf(reply(course, 1, answered(500))[0]), "b");
    reply(course, 2, STARTED);
    const [last] = reply(course, 2, answered(500));
    t.is(last?.kind, CourseEffectKind.Deliver);
    t.is(course.arrivalCount, 2);
});

test("without retry budget at any gate the failed answer is delivered", (t) => {
    const course = create(RequestKind.Repeatable);
    begin(course);
    reply(course, 1, STARTED);
    let [effect] = reply(course, 1, answered(500));
    const asked = new Set<string>();
    for (let attempt = 2; effect?.kind === CourseEffectKind.Offer; attempt += 1) {
        t.true(effect.terms.isRepeat);
        asked.add(effect.vm);
        [effect] = reply(course, attempt, refused(RefusalCause.RetryBudget));
    }
    t.is(effect?.kind, CourseEffectKind.Deliver);
    t.deepEqual([...asked], ["b", "c"]);
});

test("a second attempt goes to a trusted endpoint although a doubted one is free", (t) => {
    const rank = (): readonly PlacementCandidate[] =>
        [candidate("a"), candidate("gray", Grade.Doubted, TrialWish.Repeatable), candidate("c")];
    const course = create(RequestKind.Repeatable, { rank, drawTrial: () => false });
    begin(course);
    reply(course, 1, STARTED);
    t.is(vmOf(reply(course, 1, answered(500))[0]), "c");
});

test("an answer that hangs is hedged, and the first answer wins", (t) => {
    const course = create(RequestKind.Repeatable);
    begin(course);
    const [arm] = reply(course, 1, STARTED);
    t.is(arm?.kind, CourseEffectKind.ArmHedge);
    const [hedge] = course.step({ kind: CourseEventKind.Hedge, attempt: 1 }, 900);
    t.is(vmOf(hedge), "b");
    reply(course, 2, STARTED, 901);
    const effects = reply(course, 2, answered(200), 1_200);
    t.is(effects[0]?.kind, CourseEffectKind.Deliver);
    t.deepEqual(effects[1], { kind: CourseEffectKind.Cancel, attempt: 1 });
});

test("work that must not be repeated is never hedged", (t) => {
    const course = create(RequestKind.Once);
    begin(course);
    t.deepEqual(reply(course, 1, STARTED), []);
    t.deepEqual(course.step({ kind: CourseEventKind.Hedge, attempt: 1 }, 900), []);
});

test("when all gates refuse, the caller is told at once that it has not run, and when to return", (t) => {
    const course = create(RequestKind.Once);
    begin(course);
    let effects: readonly CourseEffect[] = [];
    for (let attempt = 1; attempt < 10 && !course.isFinished; attempt += 1) {
        effects = reply(course, attempt, refused());
    }
    t.deepEqual(effects, [{ kind: CourseEffectKind.Refuse, cause: RefusalCause.Busy, retryAfterMs: 200 }]);
});

test("a place in a queue is taken only after free slots have been asked for", (t) => {
    const course = create(RequestKind.Once);
    const queueTimes = [begin(course)];
    for (let attempt = 1; attempt <= 3; attempt += 1) {
        queueTimes.push(reply(course, attempt, refused())[0]);
    }
    const asked = queueTimes.map((effect) => effect?.kind === CourseEffectKind.Offer ? effect.terms.maxQueueMs : undefined);
    t.deepEqual(asked.slice(0, 3), [0, 0, 0]);
    t.true((asked[3] ?? 0) > 1_000);
});

test("a large answer waits for the best gate although another one has a free slot", (t) => {
    const full = candidate("near");
    const busy = { ...full, load: full.load === undefined ? undefined : { ...full.load, running: 5 } };
    const rank = (): readonly PlacementCandidate[] => [busy, candidate("far")];
    const effect = begin(create(RequestKind.Download, { rank }));
    t.true(effect?.kind === CourseEffectKind.Offer && effect.vm === "near" && effect.terms.maxQueueMs > 0);
    t.is(vmOf(begin(create(RequestKind.Repeatable, { rank }))), "far");
});

test("an ejected endpoint gets a repeatable request as its trial, and no work that must not be repeated", (t) => {
    const rank = (): readonly PlacementCandidate[] => [candidate("a"), candidate("gray", Grade.Ejected, TrialWish.Repeatable)];
    t.is(vmOf(begin(create(RequestKind.Repeatable, { rank }))), "gray");
    t.is(vmOf(begin(create(RequestKind.Once, { rank }))), "a");
});

test("a request that has only one attempt is no trial", (t) => {
    const rank = (): readonly PlacementCandidate[] => [candidate("a"), candidate("gray", Grade.Ejected, TrialWish.Repeatable)];
    t.is(vmOf(begin(create(RequestKind.Repeatable, { rank }, 1))), "a");
});

test("an endpoint that nothing else has tried for a time gets work of any kind", (t) => {
    const rank = (): readonly PlacementCandidate[] => [candidate("a"), candidate("gray", Grade.Ejected, TrialWish.Any)];
    t.is(vmOf(begin(create(RequestKind.Once, { rank }))), "gray");
});

test("an ejected endpoint is the last resort when there is no other", (t) => {
    const course = create(RequestKind.Once, { rank: () => [candidate("gray", Grade.Ejected)] });
    const effect = begin(course);
    t.true(effect?.kind === CourseEffectKind.Offer && effect.terms.isLastResort);
});

test("an endpoint that sheds a request uses up none of the attempts of its route, and is not asked without end", (t) => {
    const vms = ["a", "b", "c", "d", "e", "f", "g", "h"];
    const course = create(RequestKind.Once, { rank: () => vms.map((vm) => candidate(vm)) }, 2);
    let effect = begin(course);
    const asked: string[] = [];
    for (let attempt = 1; effect?.kind === CourseEffectKind.Offer; attempt += 1) {
        asked.push(effect.vm);
        reply(course, attempt, STARTED);
        [effect] = reply(course, attempt, refused(RefusalCause.Shed, true));
    }
    t.true(asked.length > 2 && asked.length <= 5, asked.join(" "));
    t.true(effect?.kind === CourseEffectKind.Refuse && effect.cause === RefusalCause.Shed);
});

test("when the process stops, a request that waits is refused, and one that may have run is not said not to have", (t) => {
    const waiting = create(RequestKind.Once);
    begin(waiting);
    reply(waiting, 1, { kind: GateReplyKind.Queued });
    const [refusal, cancel] = waiting.step({ kind: CourseEventKind.Stop }, 50);
    t.true(refusal?.kind === CourseEffectKind.Refuse && refusal.cause === RefusalCause.Stopping);
    t.deepEqual(cancel, { kind: CourseEffectKind.Cancel, attempt: 1 });
    const running = create(RequestKind.Once);
    begin(running);
    reply(running, 1, STARTED);
    t.is(running.step({ kind: CourseEventKind.Stop }, 50)[0]?.kind, CourseEffectKind.Fail);
});

test("a caller that leaves has its attempts cancelled", (t) => {
    const course = create(RequestKind.Repeatable);
    begin(course);
    reply(course, 1, STARTED);
    t.deepEqual(course.step({ kind: CourseEventKind.CallerGone }, 50), [{ kind: CourseEffectKind.Cancel, attempt: 1 }]);
});

test("at the deadline the caller is told that the time is up, and never that the request has not run", (t) => {
    const course = create(RequestKind.Once);
    begin(course);
    reply(course, 1, STARTED);
    const [effect] = course.step({ kind: CourseEventKind.Deadline }, 4_000);
    t.true(effect?.kind === CourseEffectKind.Fail && effect.failure === CourseFailure.TimedOut);
});
