import test from "ava";
import { createServingRequest as request } from "../../../../test/fixtures/createServingRequest.js";
import { StartCount } from "../StartCount.js";
import { OvertakingShares } from "./index.js";

function start(organisation: string, priority: number, count: number): StartCount {
    return { organisation, organisationPriority: 0, priority, count };
}

const MIDDLE = { request: request("1", "a", { priority: 1 }), startTag: 10 };

// Load: three of four starts go to more urgent requests and calls. Guards against the admission of requests that these will overtake.
test("the share of the starts that more urgent requests and calls do not take remains, but never nothing", (t) => {
    const noTag = (): undefined => undefined;
    t.is(OvertakingShares.create([start("b", 0, 2), start("", 5, 1), start("a", 1, 1)], noTag).remainingByUrgency(MIDDLE), 0.25);
    t.is(OvertakingShares.create([start("b", 2, 4)], noTag).remainingByUrgency(MIDDLE), 1);
    t.is(OvertakingShares.create([start("b", 0, 100)], noTag).remainingByUrgency(MIDDLE), 0.05);
});

// Load: organisations with less use send equally urgent requests.
test("equally urgent requests of organisations of which none waits and that have less use overtake", (t) => {
    const nextTag = ({ organisation }: StartCount): number | undefined => organisation === "waiting" ? undefined : Number(organisation);
    const shares = OvertakingShares.create([start("5", 1, 1), start("15", 1, 2), start("waiting", 1, 1)], nextTag);
    t.is(shares.remainingByUrgency(MIDDLE), 0.75);
    t.is(shares.remainingByUse(MIDDLE), 0.75);
});

test("by use alone, requests are overtaken by more urgent ones of their own organisation only", (t) => {
    const shares = OvertakingShares.create([start("a", 0, 1), start("b", 0, 2), start("a", 1, 1), start("", 0, 9)], () => undefined);
    t.is(shares.remainingByUse(MIDDLE), 0.75);
    t.is(shares.remainingByUse({ ...MIDDLE, request: request("1", "a", { organisationPriority: 9 }) }), 1);
});

// Guards against refusals for a share that one or two starts tell.
test("nothing is concluded from fewer than three starts", (t) => {
    t.is(OvertakingShares.create([start("b", 0, 2.9)], () => undefined).remainingByUrgency(MIDDLE), 1);
});
