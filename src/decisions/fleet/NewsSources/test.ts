import test from "ava";
import { NewsHub } from "../NewsHub.js";
import { NewsSources } from "./index.js";

function hub(vm: string, position = 5): NewsHub {
    return { vm, failureDomain: vm.slice(0, 1), position };
}

function create(): NewsSources {
    const sources = NewsSources.create("b", () => 0);
    sources.reach(5);
    return sources;
}

test("two control VMs are the sources, the first one near, and the first sends the loads", (t) => {
    const choice = create().review([hub("a-1"), hub("b-1"), hub("c-1")], 0);
    t.deepEqual(choice, { start: ["b-1", "a-1"], stop: [], loadsFrom: "b-1" });
});

test("a source that is not heard any more is replaced", (t) => {
    const sources = create();
    sources.review([hub("a-1"), hub("b-1")], 0);
    const choice = sources.review([hub("a-1"), hub("c-1")], 1_000);
    t.deepEqual(choice, { start: ["c-1"], stop: ["b-1"], loadsFrom: "a-1" });
});

test("when the sources are cut off with a minority, a control VM that has gone on takes the place of one", (t) => {
    const sources = create();
    const hubs = [hub("b-1"), hub("a-1"), hub("c-1", 9), hub("c-2", 8)];
    sources.review(hubs.map(({ vm }) => hub(vm)), 0);
    t.deepEqual(sources.review(hubs, 1_000).start, []);
    const choice = sources.review(hubs, 1_300);
    t.deepEqual(choice.start, ["c-1"]);
    t.is(choice.stop.length, 1);
    t.is(sources.count, 2);
    sources.reach(9);
    t.deepEqual(sources.review(hubs, 2_000).start, []);
});

test("a source that is ahead of what it has sent is asked again", (t) => {
    const sources = create();
    const hubs = [hub("a-1", 7), hub("b-1")];
    sources.review(hubs, 0);
    t.deepEqual(sources.review(hubs, 300), { start: ["a-1"], stop: [], loadsFrom: "b-1" });
});

test("news that come in time change nothing", (t) => {
    const sources = create();
    sources.review([hub("a-1"), hub("b-1")], 0);
    sources.review([hub("a-1", 6), hub("b-1")], 100);
    sources.reach(6);
    t.deepEqual(sources.review([hub("a-1", 6), hub("b-1")], 1_000), { start: [], stop: [], loadsFrom: "b-1" });
});

test("a control VM of the own failure domain that is linked later takes the place of a far one, unless it is behind", (t) => {
    const sources = create();
    t.deepEqual(sources.review([hub("a-1"), hub("c-1")], 0), { start: ["a-1", "c-1"], stop: [], loadsFrom: "a-1" });
    t.deepEqual(sources.review([hub("a-1"), hub("c-1"), hub("b-1", 4)], 10).start, []);
    const choice = sources.review([hub("a-1"), hub("c-1"), hub("b-1")], 20);
    t.deepEqual(choice, { start: ["b-1"], stop: ["a-1"], loadsFrom: "b-1" });
});

test("a lost link takes the source out, and another is drawn", (t) => {
    const sources = create();
    sources.review([hub("a-1"), hub("b-1"), hub("c-1")], 0);
    t.true(sources.lose("b-1"));
    t.false(sources.lose("c-1"));
    t.deepEqual(sources.review([hub("a-1"), hub("c-1")], 10).start, ["c-1"]);
});
