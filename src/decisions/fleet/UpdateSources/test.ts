import test from "ava";
import { SourceCandidate } from "../SourceCandidate.js";
import { UpdateSources } from "./index.js";

function candidate(vm: string, position = 5): SourceCandidate {
    return { vm, failureDomain: vm.slice(0, 1), position };
}

function create(): UpdateSources {
    const sources = UpdateSources.create("b", () => 0);
    sources.advancePosition(5);
    return sources;
}

test("two control VMs become sources; the first one is in the proxy's failure domain and sends the loads", (t) => {
    const selection = create().selectSources([candidate("a-1"), candidate("b-1"), candidate("c-1")], 0);
    t.deepEqual(selection, { toSubscribe: ["b-1", "a-1"], toUnsubscribe: [], loadSource: "b-1" });
});

test("a source that is no longer a candidate is replaced", (t) => {
    const sources = create();
    sources.selectSources([candidate("a-1"), candidate("b-1")], 0);
    const selection = sources.selectSources([candidate("a-1"), candidate("c-1")], 1_000);
    t.deepEqual(selection, { toSubscribe: ["c-1"], toUnsubscribe: ["b-1"], loadSource: "a-1" });
});

test("when the sources are in the minority of a partition, a control VM that is ahead replaces one of them", (t) => {
    const sources = create();
    const candidates = [candidate("b-1"), candidate("a-1"), candidate("c-1", 9), candidate("c-2", 8)];
    sources.selectSources(candidates.map(({ vm }) => candidate(vm)), 0);
    t.deepEqual(sources.selectSources(candidates, 1_000).toSubscribe, []);
    const selection = sources.selectSources(candidates, 1_300);
    t.deepEqual(selection.toSubscribe, ["c-1"]);
    t.is(selection.toUnsubscribe.length, 1);
    t.is(sources.count, 2);
    sources.advancePosition(9);
    t.deepEqual(sources.selectSources(candidates, 2_000).toSubscribe, []);
});

test("a source that is ahead of the updates it has sent is subscribed to again", (t) => {
    const sources = create();
    const candidates = [candidate("a-1", 7), candidate("b-1")];
    sources.selectSources(candidates, 0);
    t.deepEqual(sources.selectSources(candidates, 300), { toSubscribe: ["a-1"], toUnsubscribe: [], loadSource: "b-1" });
});

// Load: a change of thousands of items on a link that takes seconds for it. Guards against sources that are replaced several times a second, each
// of which sends items again, so that the link is never free.
test("while updates do not arrive, sources are replaced less and less often", (t) => {
    const sources = create();
    const candidates = ["b-1", "a-1", "c-1", "c-2"].map((vm) => candidate(vm));
    sources.selectSources(candidates, 0);
    const ahead = candidates.map(({ vm }) => candidate(vm, 9));
    const subscribedAtMs = Array.from({ length: 20 }, (_, index) => 200 * index)
        .filter((atMs) => sources.selectSources(ahead, atMs).toSubscribe.length > 0);
    t.deepEqual(subscribedAtMs, [200, 600, 1_200, 2_400]);
    sources.advancePosition(9);
    sources.selectSources(ahead, 5_000);
    const next = ahead.map(({ vm }) => candidate(vm, 10));
    sources.selectSources(next, 5_200);
    t.is(sources.selectSources(next, 5_400).toSubscribe.length, 1);
});

test("updates that arrive in time change nothing", (t) => {
    const sources = create();
    sources.selectSources([candidate("a-1"), candidate("b-1")], 0);
    sources.selectSources([candidate("a-1", 6), candidate("b-1")], 100);
    sources.advancePosition(6);
    t.deepEqual(sources.selectSources([candidate("a-1", 6), candidate("b-1")], 1_000), { toSubscribe: [], toUnsubscribe: [], loadSource: "b-1" });
});

test("a control VM of the proxy's failure domain that is linked later replaces a remote source, unless it lags", (t) => {
    const sources = create();
    t.deepEqual(
        sources.selectSources([candidate("a-1"), candidate("c-1")], 0),
        { toSubscribe: ["a-1", "c-1"], toUnsubscribe: [], loadSource: "a-1" },
    );
    t.deepEqual(sources.selectSources([candidate("a-1"), candidate("c-1"), candidate("b-1", 4)], 10).toSubscribe, []);
    const selection = sources.selectSources([candidate("a-1"), candidate("c-1"), candidate("b-1")], 20);
    t.deepEqual(selection, { toSubscribe: ["b-1"], toUnsubscribe: ["a-1"], loadSource: "b-1" });
});

test("a source whose link is lost is removed and replaced", (t) => {
    const sources = create();
    sources.selectSources([candidate("a-1"), candidate("b-1"), candidate("c-1")], 0);
    t.true(sources.removeSource("b-1"));
    t.false(sources.removeSource("c-1"));
    t.deepEqual(sources.selectSources([candidate("a-1"), candidate("c-1")], 10).toSubscribe, ["c-1"]);
});
