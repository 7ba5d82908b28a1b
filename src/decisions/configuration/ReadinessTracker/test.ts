import test from "ava";
import { ConfigurationVersion } from "../../../model/ConfigurationVersion.js";
import { ReadinessTracker } from "./index.js";

const at = (version: number): ConfigurationVersion => ({ term: 1, version, manifestVersion: version });
const DOMAINS = new Set(["a", "b", "c"]);

interface Case {
    readonly title: string;
    readonly reports: readonly (readonly [vm: string, failureDomain: string, version: number])[];
    readonly ownVersion: number;
    readonly liveDomains?: ReadonlySet<string>;
    readonly expected: boolean;
}

const cases: readonly Case[] = [
    { title: "a process without a configuration is not ready", reports: [["p", "a", 0], ["q", "b", 0]], ownVersion: 0, expected: false },
    { title: "reports from one of several failure domains are not enough", reports: [["p", "a", 3], ["q", "a", 3]], ownVersion: 3, expected: false },
    { title: "reports from two failure domains are enough", reports: [["p", "a", 3], ["q", "b", 2]], ownVersion: 3, expected: true },
    { title: "a process with an older configuration than one of its peers is not ready", reports: [["p", "a", 3], ["q", "b", 4]], ownVersion: 3, expected: false },
    { title: "a report from the only failure domain is enough", reports: [["p", "a", 3]], ownVersion: 3, liveDomains: new Set(["a"]), expected: true },
    { title: "a process without live peers is ready", reports: [], ownVersion: 3, liveDomains: new Set<string>(), expected: true },
];

for (const { title, reports, ownVersion, liveDomains = DOMAINS, expected } of cases) {
    test(title, (t) => {
        const tracker = ReadinessTracker.create();
        reports.forEach(([vm, failureDomain, version]) => tracker.recordPeerPosition(vm, failureDomain, at(version)));
        t.is(tracker.isReady(at(ownVersion), liveDomains), expected);
    });
}

test("a process that is ready stays ready while it fetches a newer configuration", (t) => {
    const tracker = ReadinessTracker.create();
    tracker.recordPeerPosition("p", "a", at(3));
    tracker.recordPeerPosition("q", "b", at(3));
    t.true(tracker.isReady(at(3), DOMAINS));
    tracker.recordPeerPosition("p", "a", at(4));
    t.true(tracker.isReady(at(3), DOMAINS));
});
