import test from "ava";
import { ItemKind } from "../../items/ItemKind.js";
import { OrganisationItem } from "../../items/OrganisationItem.js";
import { QuotaShare } from "./index.js";

const CONTROLS = 5;
const NO_EXCESS = { windowMs: 5_000, overshoot: 0, slack: 0 };

function organisation(ratePerSecond: number, burst: number, name = "org-1"): OrganisationItem {
    return { kind: ItemKind.Organisation, name, apiKeys: [], priority: 0, ratePerSecond, burst };
}

function createShare(...organisations: readonly OrganisationItem[]): QuotaShare {
    const share = QuotaShare.create(NO_EXCESS, 0);
    share.setControlCount(CONTROLS, 0);
    share.setOrganisations(organisations, 0);
    return share;
}

/** Asks in intervals of 100 ms, from one time up to another; returns the number of tokens granted. */
function drain(share: QuotaShare, fromMs: number, toMs: number, count = 1_000): number {
    let granted = 0;
    for (let atMs = fromMs; atMs <= toMs; atMs += 100) {
        granted += share.grant([{ organisation: "org-1", count }], atMs)[0]?.count ?? 0;
    }
    return granted;
}

// Load: one organisation asks for many times its limit. Guards against grants above the part of one control VM.
for (const [ratePerSecond, burst, expected] of [[100, 100, 120], [10, 10, 12], [2, 2, 3], [0.5, 1, 1], [140_000, 140_000, 168_000]] as const) {
    test(`a limit of ${ratePerSecond} a second and ${burst} at once gives one of five control VMs ${expected} tokens in 5 s after a pause`, (t) => {
        const share = createShare(organisation(ratePerSecond, burst));
        t.is(drain(share, 10_000, 15_000, 1_000_000), expected);
    });
}

// Load: random gaps between the requests of small organisations. Guards against buckets that hold less than a few tokens in all.
for (const [ratePerSecond, expected] of [[0.2, 1], [1, 1], [10, 3]] as const) {
    test(`with the usual slack, a limit of ${ratePerSecond} a second lets a control VM grant ${expected} tokens at once`, (t) => {
        const share = QuotaShare.create({ windowMs: 5_000, overshoot: 0.1, slack: 20 }, 0);
        share.setControlCount(CONTROLS, 0);
        share.setOrganisations([organisation(ratePerSecond, Math.max(1, ratePerSecond))], 0);
        t.is(share.grant([{ organisation: "org-1", count: 1_000 }], 3_600_000)[0]?.count, expected);
    });
}

// Guards against a double grant after a restart: the earlier run may have used up its part.
test("a bucket is empty at the start", (t) => {
    const share = createShare(organisation(10, 10));
    t.deepEqual(share.grant([{ organisation: "org-1", count: 3 }], 0), [{ organisation: "org-1", count: 0, waitMs: 500 }]);
    t.deepEqual(share.grant([{ organisation: "org-1", count: 3 }], 500), [{ organisation: "org-1", count: 1, waitMs: 500 }]);
});

// Guards against refusals in the first seconds of a new fleet, when a small organisation would wait for its first token.
test("on the first start of a fleet buckets are full", (t) => {
    const share = QuotaShare.create(NO_EXCESS, 0);
    share.recordFirstRun();
    share.setControlCount(CONTROLS, 0);
    share.setOrganisations([organisation(10, 10)], 1);
    t.is(share.grant([{ organisation: "org-1", count: 9 }], 1)[0]?.count, 2);
    t.is(share.grant([{ organisation: "org-1", count: 9 }], 1)[0]?.count, 0);
});

// Guards against refusals of a new organisation that calls at once: nothing has been granted to it in this run.
test("the bucket of an organisation that is added later has filled up since the start", (t) => {
    const share = createShare();
    share.setOrganisations([organisation(10, 10)], 60_000);
    t.is(share.grant([{ organisation: "org-1", count: 9 }], 60_000)[0]?.count, 2);
});

test("an organisation that is removed and added again starts without tokens", (t) => {
    const share = createShare(organisation(10, 10));
    t.is(share.grant([{ organisation: "org-1", count: 9 }], 60_000)[0]?.count, 2);
    share.setOrganisations([], 60_000);
    t.is(share.grant([{ organisation: "org-1", count: 9 }], 60_000)[0]?.count, 0);
    share.setOrganisations([organisation(10, 10)], 60_000);
    t.is(share.grant([{ organisation: "org-1", count: 9 }], 60_000)[0]?.count, 0);
});

// Load: the limit is lowered while the organisation calls. Guards against a bucket that keeps the tokens of the former limit.
test("a lowered limit holds at once, and a raised one too", (t) => {
    const share = createShare(organisation(100, 100));
    share.setOrganisations([organisation(10, 10)], 60_000);
    t.is(drain(share, 60_000, 65_000), 12);
    share.setOrganisations([organisation(100, 100)], 65_000);
    t.is(drain(share, 65_100, 70_000), 100);
});

// Guards against shares that add up to more than the limit when another control VM comes.
test("more control VMs have smaller shares", (t) => {
    const share = createShare(organisation(100, 100));
    share.setControlCount(10, 60_000);
    t.is(drain(share, 60_000, 65_000), 60);
});

test("an organisation without a limit gets what it asks for, one that is unknown nothing", (t) => {
    const share = createShare(organisation(0, 0));
    t.deepEqual(share.grant([{ organisation: "org-1", count: 7 }, { organisation: "other", count: 7 }], 0), [
        { organisation: "org-1", count: 7, waitMs: 0 },
        { organisation: "other", count: 0, waitMs: 200 },
    ]);
});

// Guards against grants for the time in which a control VM was paused.
test("a pause fills a bucket up to its capacity only", (t) => {
    const share = createShare(organisation(10, 10));
    t.is(share.grant([{ organisation: "org-1", count: 1_000 }], 3_600_000)[0]?.count, 2);
});
