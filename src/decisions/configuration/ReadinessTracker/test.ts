import test from "ava";
import { ConfigurationVersion } from "../../../model/ConfigurationVersion.js";
import { ReadinessTracker } from "./index.js";

const at = (version: number): ConfigurationVersion => ({ term: 1, version, manifestVersion: version });
const DOMAINS = new Set(["a", "b", "c"]);

interface Case {
    readonly title: string;
    readonly heard: readonly (readonly [vm: string, failureDomain: string, version: number])[];
    readonly ownVersion: number;
    readonly liveDomains?: ReadonlySet<string>;
    readonly expected: boolean;
}

const cases: readonly Case[] = [
    { title: "a process without a configuration is not ready", heard: [["p", "a", 0], ["q", "b", 0]], ownVersion: 0, expected: false },
    { title: "one failure domain is not enough", heard: [["p", "a", 3], ["q", "a", 3]], ownVersion: 3, expected: false },
    { title: "two failure domains are enough", heard: [["p", "a", 3], ["q", "b", 2]], ownVersion: 3, expected: true },
    { title: "a process behind one of its peers is not ready", heard: [["p", "a", 3], ["q", "b", 4]], ownVersion: 3, expected: false },
    { title: "in a fleet of one failure domain that one is enough", heard: [["p", "a", 3]], ownVersion: 3, liveDomains: new Set(["a"]), expected: true },
    { title: "a process that is alone is ready", heard: [], ownVersion: 3, liveDomains: new Set<string>(), expected: true },
];

for (const { title, heard, ownVersion, liveDomains = DOMAINS, expected } of cases) {
    test(title, (t) => {
        const tracker = ReadinessTracker.create();
        heard.forEach(([vm, failureDomain, version]) => tracker.hear(vm, failureDomain, at(version)));
        t.is(tracker.isReady(at(ownVersion), liveDomains), expected);
    });
}

test("a process that is ready stays ready while it fetches a newer configuration", (t) => {
    const tracker = ReadinessTracker.create();
    tracker.hear("p", "a", at(3));
    tracker.hear("q", "b", at(3));
    t.true(tracker.isReady(at(3), DOMAINS));
    tracker.hear("p", "a", at(4));
    t.true(tracker.isReady(at(3), DOMAINS));
});
