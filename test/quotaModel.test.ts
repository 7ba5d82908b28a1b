import test, { type ExecutionContext } from "ava";
import { maxCountIn } from "../bench/fleetModel/maxCountIn/index.js";
import { ModelRequest } from "../bench/quotaModel/ModelRequest.js";
import { QuotaModel } from "../bench/quotaModel/QuotaModel/index.js";
import { QuotaModelOptions } from "../bench/quotaModel/QuotaModelOptions.js";
import { createRandom } from "../bench/soak/createRandom/index.js";
import { ItemKind } from "../src/decisions/items/ItemKind.js";
import { OrganisationItem } from "../src/decisions/items/OrganisationItem.js";
import { TokenBucket } from "../src/decisions/limits/TokenBucket/index.js";

const TERMS = { windowMs: 5_000, overshoot: 0.1, slack: 20 };
const PROXIES = 104;
const CONTROLS = 5;
/** Usual load of an organisation, as a part of its limit. */
const USUAL_LOAD = 1 / 1.6;
const RISE = 8;
/** Time after which the buckets of all control VMs hold what they can, in ms. */
const FILLED_AT_MS = 20_000;
const RISE_AT_MS = 30_000;
const RISE_END_MS = 45_000;
const END_MS = 60_000;
const MS_PER_SECOND = 1_000;

function organisation(name: string, ratePerSecond: number): OrganisationItem {
    return { kind: ItemKind.Organisation, name, apiKeys: [], priority: 0, ratePerSecond, burst: Math.max(1, Math.round(ratePerSecond)) };
}

/** 86 organisations of very uneven size that together send about 360 requests a second. */
const ORGANISATIONS = Array.from({ length: 86 }, (_, index) => organisation(`org-${index}`, 107 / (index + 1) ** 0.95));
const LARGE = ORGANISATIONS[0] ?? organisation("", 0);
const SMALL = ORGANISATIONS[80] ?? organisation("", 0);

function createModel(options: Partial<QuotaModelOptions> = {}): QuotaModel {
    const model = QuotaModel.create({
        proxyCount: PROXIES,
        controlCount: CONTROLS,
        tunnelCount: 16,
        failureDomainCount: 3,
        oneWayMs: 3,
        organisations: ORGANISATIONS,
        refusedShare: 0.05,
        seed: 1,
        ...options,
    }, TERMS);
    return model;
}

/** Sends the usual load of all organisations, and the rise of one. */
function sendLoad(model: QuotaModel, rising?: OrganisationItem, returnShare = 0): void {
    ORGANISATIONS.forEach(({ name, ratePerSecond }) => {
        model.send(name, { perSecond: USUAL_LOAD * ratePerSecond, fromMs: FILLED_AT_MS, untilMs: END_MS });
    });
    if (rising !== undefined) {
        const perSecond = USUAL_LOAD * rising.ratePerSecond * (RISE - 1);
        model.send(rising.name, { perSecond, fromMs: RISE_AT_MS, untilMs: RISE_END_MS }, undefined, returnShare);
    }
}

function boundOf({ ratePerSecond, burst }: OrganisationItem): number {
    return (ratePerSecond * TERMS.windowMs / MS_PER_SECOND + burst) * (1 + TERMS.overshoot) + TERMS.slack;
}

/** Checks the bound for an organisation, both by the times at which requests were sent and by those at which they were admitted. */
function assertWithinBound(t: ExecutionContext, model: QuotaModel, limited: OrganisationItem, fromMs = 0): void {
    const run = model.requests.filter(({ organisation: name, hasRun }) => hasRun && name === limited.name);
    const highest = [run.map(({ sentAtMs }) => sentAtMs), run.map(({ decidedAtMs }) => decidedAtMs)].map((times) =>
        maxCountIn(times.sort((left, right) => left - right), TERMS.windowMs, fromMs));
    t.log(`${limited.name}: ${highest.join(" and ")} of ${boundOf(limited).toFixed(1)}; ${run.length} run, ${model.localCount} without contact`);
    t.true(Math.max(...highest) <= boundOf(limited));
}

function assertAllWithinBounds(t: ExecutionContext, model: QuotaModel, rising: OrganisationItem): void {
    assertWithinBound(t, model, rising);
    ORGANISATIONS.forEach((limited) => {
        const run = model.requests.filter(({ organisation: name, hasRun }) => hasRun && name === limited.name);
        const times = run.map(({ decidedAtMs }) => decidedAtMs);
        t.true(maxCountIn(times, TERMS.windowMs, 0) <= boundOf(limited), limited.name);
    });
}

function sum(numbers: readonly number[]): number {
    return numbers.reduce((total, number) => total + number, 0);
}

/** Counts the requests that one bucket of the organisation's rate and burst would refuse. */
function countAboveLimit(requests: readonly ModelRequest[], { ratePerSecond, burst }: OrganisationItem): number {
    const bucket = TokenBucket.create(ratePerSecond, burst, 0);
    return requests.filter(({ sentAtMs }) => bucket.take(sentAtMs) > 0).length;
}

const ALL_CONTROLS = [0, 1, 2, 3, 4];
const HALF_OF_PROXIES = Array.from({ length: PROXIES / 2 }, (_, index) => 2 * index);
const ALL_PROXIES = Array.from({ length: PROXIES }, (_, index) => index);

// Load: the usual one of 86 organisations. Guards against refusals below the limit, and against more messages than freshness needs.
test("in calm, organisations below their limits are not refused", (t) => {
    const model = createModel();
    sendLoad(model);
    model.run(END_MS);
    const counts = ORGANISATIONS.map((limited) => {
        const requests = model.requests.filter(({ organisation: name }) => name === limited.name);
        return { refused: requests.filter(({ isAdmitted }) => !isAdmitted).length, aboveLimit: countAboveLimit(requests, limited) };
    });
    const [refused, aboveLimit] = [counts.map((count) => count.refused), counts.map((count) => count.aboveLimit)].map(sum);
    const messages = (model.messageCount / model.requests.length).toFixed(2);
    t.log(`${refused} of ${model.requests.length} refused, ${aboveLimit} were above the limit for a moment; ${messages} messages a request`);
    t.deepEqual(counts.filter((count) => count.refused > count.aboveLimit), []);
});

// Load: eight times the usual load of the largest organisation. Guards against one that takes the tokens or the replies of others.
test("an eightfold rise of one organisation leads to no refusals of others below their limits", (t) => {
    const model = createModel();
    sendLoad(model, LARGE);
    model.run(END_MS);
    const counts = ORGANISATIONS.slice(1).map((limited) => {
        const requests = model.requests.filter(({ organisation: name }) => name === limited.name);
        return { refused: requests.filter(({ isAdmitted }) => !isAdmitted).length, aboveLimit: countAboveLimit(requests, limited) };
    });
    t.log(`${sum(counts.map(({ refused }) => refused))} refused, ${sum(counts.map(({ aboveLimit }) => aboveLimit))} above the limit for a moment`);
    t.deepEqual(counts.filter((count) => count.refused > count.aboveLimit), []);
});

for (const [size, rising] of [["a large", LARGE], ["a small", SMALL]] as const) {
    // Load: eight times the usual load of one organisation. The faults are what the design has to withstand at that time.
    const faults: readonly (readonly [string, (model: QuotaModel) => void])[] = [
        ["everything works", () => undefined],
        ["two control VMs are killed and started again", (model) => [0, 1].forEach((control) => {
            model.at(RISE_AT_MS + 2_000, () => model.killControl(control));
            model.at(RISE_AT_MS + 6_000, () => model.startControl(control));
        })],
        ["a control VM is restarted every second", (model) => {
            for (let atMs = RISE_AT_MS; atMs < RISE_END_MS; atMs += 1_000) {
                model.at(atMs, () => {
                    model.killControl(2);
                    model.startControl(2);
                });
            }
        }],
        ["half of the proxies are cut off from three control VMs", (model) => {
            model.at(RISE_AT_MS + 1_000, () => model.cut(HALF_OF_PROXIES, [0, 1, 2]));
            model.at(RISE_AT_MS + 9_000, () => model.mend(HALF_OF_PROXIES));
        }],
        ["half of the proxies are cut off from all control VMs", (model) => {
            model.at(RISE_AT_MS + 1_000, () => model.cut(HALF_OF_PROXIES, ALL_CONTROLS));
            model.at(RISE_AT_MS + 9_000, () => model.mend(HALF_OF_PROXIES));
        }],
        ["a tenth of the proxies are cut off from all control VMs", (model) => {
            model.at(RISE_AT_MS + 1_000, () => model.cut(ALL_PROXIES.slice(0, 10), ALL_CONTROLS));
        }],
        ["all proxies are cut off from all control VMs", (model) => {
            model.at(RISE_AT_MS + 2_000, () => model.cut(ALL_PROXIES, ALL_CONTROLS));
            model.at(RISE_AT_MS + 10_000, () => model.mend(ALL_PROXIES));
        }],
        ["links fail and return again and again", (model) => {
            for (let atMs = RISE_AT_MS; atMs < RISE_END_MS; atMs += 500) {
                model.at(atMs, () => model.cut(HALF_OF_PROXIES, ALL_CONTROLS));
                model.at(atMs + 250, () => model.mend(HALF_OF_PROXIES));
            }
        }],
        ["control VMs are paused for a second, one after the other", (model) => ALL_CONTROLS.forEach((control) => {
            model.at(RISE_AT_MS + 1_000 + 1_500 * control, () => model.pauseControl(control, 1_000));
        })],
        ["proxies are paused for 3 s, and callers with them", (model) => HALF_OF_PROXIES.forEach((proxy) => {
            model.at(RISE_AT_MS + 2_000, () => model.pauseProxy(proxy, 3_000));
        })],
        ["proxies are restarted again and again", (model) => {
            for (let atMs = RISE_AT_MS; atMs < RISE_END_MS; atMs += 2_000) {
                model.at(atMs, () => HALF_OF_PROXIES.forEach((proxy) => model.restartProxy(proxy)));
            }
        }],
    ];
    for (const [description, injectFault] of faults) {
        test(`an eightfold rise of ${size} organisation stays within the bound while ${description}`, (t) => {
            const model = createModel();
            sendLoad(model, rising);
            injectFault(model);
            model.run(END_MS);
            assertAllWithinBounds(t, model, rising);
        });
    }
}

// Load: the usual one while nine of ten proxies reach no control VM, but still reach the other proxies. Guards against refusals below the
// limit for as long as that lasts.
test("organisations below their limits are admitted while most proxies are cut off from all control VMs", (t) => {
    const model = createModel();
    const cutUntilMs = RISE_AT_MS + 14_000;
    sendLoad(model);
    model.at(RISE_AT_MS, () => model.cut(ALL_PROXIES.slice(10), ALL_CONTROLS));
    model.at(cutUntilMs, () => model.mend(ALL_PROXIES));
    model.run(END_MS);
    const requests = model.requests.filter(({ sentAtMs }) => sentAtMs >= RISE_AT_MS && sentAtMs < cutUntilMs);
    const admitted = requests.filter(({ isAdmitted }) => isAdmitted).length;
    t.log(`${admitted} of ${requests.length} admitted, ${model.localCount} without contact`);
    t.true(admitted >= 0.95 * requests.length);
    ORGANISATIONS.forEach((limited) => assertWithinBound(t, model, limited));
});

// Load: eight times the usual load while the limit is lowered to a quarter. Guards against a control VM that does not hear of the change,
// and against tokens, waits and buckets of the former limit.
for (const [description, isolated] of [["", []], [" at all control VMs but one that is cut off from the others", [3]]] as const) {
    test(`a lowered limit is binding two seconds and a window after its acknowledgement${description}`, (t) => {
        const model = createModel();
        const lowered = organisation(LARGE.name, LARGE.ratePerSecond / 4);
        sendLoad(model, LARGE);
        const changedAtMs = RISE_AT_MS + 4_000;
        isolated.forEach((control) => model.at(RISE_AT_MS, () => model.isolateControl(control)));
        model.at(changedAtMs, () => model.change([lowered, ...ORGANISATIONS.slice(1)]));
        model.run(END_MS);
        assertWithinBound(t, model, LARGE);
        assertWithinBound(t, model, lowered, changedAtMs + 2_000);
    });
}

// Load: eight times the usual load at few proxies while the endpoints are full. Guards against tokens that go round while all requests are
// refused, pile up, and are used at once when there is room.
for (const proxyCount of [1, 10, PROXIES]) {
    test(`after endpoints have refused everything for 10 s, what runs stays within the bound, at ${proxyCount} of the proxies`, (t) => {
        const model = createModel();
        const random = createRandom(2);
        const perSecond = RISE * USUAL_LOAD * LARGE.ratePerSecond;
        model.send(LARGE.name, { perSecond, fromMs: RISE_AT_MS, untilMs: RISE_END_MS }, () => Math.floor(random() * proxyCount));
        model.at(RISE_AT_MS, () => model.setRefusedShare(1));
        model.at(RISE_AT_MS + 10_000, () => model.setRefusedShare(0));
        model.run(END_MS);
        assertWithinBound(t, model, LARGE);
    });
}

// Load: refused callers come back after the time that they were told. Guards against times that are too early, which cost them another
// attempt, and against times so late that tokens are unused.
for (const proxyCount of [1, 10, PROXIES]) {
    for (const limited of [LARGE, SMALL]) {
        test(`callers of ${limited.name} at ${proxyCount} of the proxies are told times at which many of them are admitted`, (t) => {
            const model = createModel();
            const period = { perSecond: 2 * limited.ratePerSecond, fromMs: FILLED_AT_MS, untilMs: FILLED_AT_MS + 10_000 };
            const random = createRandom(1);
            model.send(limited.name, period, () => Math.floor(random() * proxyCount), 1);
            model.run(END_MS);
            const returns = model.requests.filter(({ isReturn }) => isReturn);
            const refused = model.requests.filter(({ isAdmitted }) => !isAdmitted);
            const admitted = returns.filter(({ isAdmitted }) => isAdmitted).length;
            const waits = refused.map(({ retryAfterMs }) => retryAfterMs).sort((left, right) => left - right);
            const lastAtMs = Math.max(...model.requests.map(({ decidedAtMs }) => decidedAtMs));
            t.log(`${admitted} of ${returns.length} admitted, told ${waits[Math.floor(waits.length / 2)]} ms in the middle, the last served after ${Math.round(lastAtMs)} ms`);
            // A proxy knows of its own refused callers only; those of a small organisation come to many proxies.
            t.true(admitted / returns.length > (limited === SMALL && proxyCount === PROXIES ? 0.4 : 0.6));
            // Twice the limit for 10 s can be served in 20 s.
            t.true(lastAtMs < FILLED_AT_MS + 30_000);
        });
    }
}

// Guards against faults that no other test combines.
for (const seed of [11, 12, 13, 14, 15, 16]) {
    test(`an eightfold rise stays within the bound while faults come at random, seed ${seed}`, (t) => {
        const model = createModel({ seed });
        const random = createRandom(seed);
        const choose = (count: number): number => Math.floor(random() * count);
        const rising = seed % 2 === 0 ? LARGE : SMALL;
        sendLoad(model, rising, 0.5);
        for (let atMs = RISE_AT_MS; atMs < RISE_END_MS; atMs += 300) {
            const control = choose(CONTROLS);
            const proxies = ALL_PROXIES.filter(() => random() < 0.4);
            const actions = [
                () => model.killControl(control),
                () => model.startControl(control),
                () => model.pauseControl(control, 100 + choose(1_500)),
                () => proxies.forEach((proxy) => model.pauseProxy(proxy, 100 + choose(1_500))),
                () => model.cut(proxies, ALL_CONTROLS.filter(() => random() < 0.8)),
                () => model.mend(ALL_PROXIES),
                () => proxies.slice(0, 10).forEach((proxy) => model.restartProxy(proxy)),
            ];
            model.at(atMs, () => actions[choose(actions.length)]?.());
        }
        model.run(END_MS);
        assertAllWithinBounds(t, model, rising);
    });
}
