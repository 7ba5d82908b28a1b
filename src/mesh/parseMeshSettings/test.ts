import test from "ava";
import { parseMeshSettings } from "./index.js";

const SETTINGS = `
[vm]
name = "vm-1"
failureDomain = "d-1"
ip = "10.0.0.1"
isFirstStart = true
[links]
firstPort = 7600
fleetKey = "a key of the whole fleet"
seeds = ["10.0.0.2:8620"]
[proxy]
callerAddress = "10.0.0.1:8629"
readyAddress = "10.0.0.1:8625"
announceAddress = "10.0.0.1:8620"
backendAddress = "10.0.0.1:8628"
service = "s"
[terms]
toleratedLosses = 2
grace = "6s"
retryRatio = 0.2
retryWindow = "10s"
retrySlack = 64
`;

test("durations are parsed with their unit", (t) => {
    const { terms } = parseMeshSettings(SETTINGS, "settings.toml");
    t.is(terms.grace, 6_000);
    t.is(terms.retryWindow, 10_000);
});

test("unknown fields are ignored", (t) => {
    t.notThrows(() => parseMeshSettings(`${SETTINGS}\nunknown = 1\n[later]\nx = 2\n`, "settings.toml"));
});

test("the permitted excess over quotas has defaults, and can be 0", (t) => {
    const defaults = parseMeshSettings(SETTINGS, "settings.toml").terms;
    t.deepEqual([defaults.quotaWindow, defaults.quotaOvershoot, defaults.quotaSlack], [5_000, 0.1, 20]);
    const { terms } = parseMeshSettings(`${SETTINGS}quotaWindow = "2s"\nquotaOvershoot = 0\nquotaSlack = 0\n`, "settings.toml");
    t.deepEqual([terms.quotaWindow, terms.quotaOvershoot, terms.quotaSlack], [2_000, 0, 0]);
});

const INVALID: readonly (readonly [string, string, string, RegExp])[] = [
    ["a missing field", "ip = \"10.0.0.1\"\n", "", /vm\.ip: found nothing/],
    ["a duration without a unit", "grace = \"6s\"", "grace = \"6\"", /terms\.grace: found "6"/],
    ["an address without a port", "\"10.0.0.1:8629\"", "\"10.0.0.1\"", /proxy\.callerAddress/],
    ["a port out of range", "firstPort = 7600", "firstPort = 760000", /links\.firstPort/],
    ["text that is not TOML", "[vm]", "[vm", /settings\.toml: cannot be parsed/],
];

for (const [title, from, to, message] of INVALID) {
    test(`${title} is named in the error`, (t) => {
        t.throws(() => parseMeshSettings(SETTINGS.replace(from, to), "settings.toml"), { any: true, message });
    });
}

test("settings without a role are refused", (t) => {
    const text = SETTINGS.replace(/\[proxy\][^[]*/, "");
    t.throws(() => parseMeshSettings(text, "settings.toml"), { any: true, message: /proxy and control/ });
});
