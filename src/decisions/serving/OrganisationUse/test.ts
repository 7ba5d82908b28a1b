import test from "ava";
import { OrganisationUse } from "./index.js";

/** Starts the request of the lowest tag of those organisations that always have one waiting; returns the number of starts of each. */
function playBacklog(use: OrganisationUse, arrivals: Readonly<Record<string, number>>, starts: number): Readonly<Record<string, number>> {
    const names = Object.keys(arrivals);
    const counts = Object.fromEntries(names.map((name) => [name, 0]));
    for (let index = 0; index < starts; index += 1) {
        names.forEach((name) => Array.from({ length: arrivals[name] ?? 0 }).forEach(() => use.recordArrival(name, true, index * 10)));
        const next = names.reduce((least, name) => use.startTag(name) < use.startTag(least) ? name : least);
        use.recordStart(next, index * 10);
        counts[next] = (counts[next] ?? 0) + 1;
    }
    return counts;
}

// Load: two organisations that always have requests waiting, one of which sends nine times as many.
test("an organisation gets more starts than another that sends less, but by far not in proportion", (t) => {
    const { heavy = 0, light = 0 } = playBacklog(OrganisationUse.create(), { heavy: 9, light: 1 }, 1_000);
    t.true(heavy > 650 && heavy < 750, `${heavy} to ${light}`);
});

test("of organisations that send the same, each gets the same number of starts", (t) => {
    const counts = playBacklog(OrganisationUse.create(), { a: 1, b: 1, c: 1 }, 300);
    t.deepEqual(counts, { a: 100, b: 100, c: 100 });
});

// Guards against a surge that takes all slots at first, because the organisation has sent little before.
test("an organisation that has sent nothing for a time has no right to a burst", (t) => {
    const use = OrganisationUse.create();
    use.recordArrival("quiet", false, 0);
    use.recordStart("quiet", 0);
    playBacklog(use, { busy: 1 }, 500);
    use.recordArrival("quiet", false, 5_000);
    t.true(use.startTag("quiet") >= use.startTag("busy") - use.cost("busy", 5_000));
});

// Guards against an organisation whose requests are always refused, as none of them waits until its turn.
test("an organisation whose requests were refused goes before those that were served meanwhile", (t) => {
    const use = OrganisationUse.create();
    use.recordArrival("refused", false, 0);
    use.recordRefusal("refused");
    playBacklog(use, { busy: 1 }, 3);
    use.recordArrival("refused", false, 30);
    t.true(use.startTag("refused") < use.nextTag("busy") - use.cost("busy", 30));
});

// Failure: the request did not reach the endpoint.
test("a start that is withdrawn leaves no use behind", (t) => {
    const use = OrganisationUse.create();
    use.recordArrival("a", false, 0);
    const before = use.startTag("a");
    const cost = use.recordStart("a", 0);
    t.true(use.startTag("a") > before);
    use.withdrawStart("a", cost);
    t.is(use.startTag("a"), before);
});

// Guards against memory that grows with each organisation that has ever sent a request.
test("an organisation that sends nothing is forgotten", (t) => {
    const use = OrganisationUse.create();
    Array.from({ length: 1_000 }, (_value, index) => `o-${index}`).forEach((name) => {
        use.recordArrival(name, false, 0);
    });
    t.is(use.size, 1_000);
    use.recordArrival("later", false, 60_000);
    t.is(use.size, 1);
});
