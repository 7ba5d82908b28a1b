import test from "ava";
import { parseManifest } from "./index.js";

const VALID = {
    fleet: { name: "fleet", detection: "fast", failureDomains: ["a", "b"] },
    services: [{ name: "orders", class: "order", floorSlots: 5 }],
    routes: [{ pathPrefix: "/orders", service: "orders" }],
};

interface Case {
    readonly title: string;
    readonly manifest: unknown;
    /** Expected error message. */
    readonly problem: RegExp;
}

const cases: readonly Case[] = [
    { title: "an unknown field is reported", manifest: { ...VALID, colour: "red" }, problem: /Unrecognized key: "colour"/ },
    { title: "a missing table is reported", manifest: { ...VALID, routes: undefined }, problem: /routes: found nothing/ },
    {
        title: "an invalid class is reported with the allowed values",
        manifest: { ...VALID, services: [{ name: "orders", class: "parcel", floorSlots: 5 }] },
        problem: /services\.0\.class: found "parcel": .*"lookup"/,
    },
    {
        title: "a number out of range is reported",
        manifest: { ...VALID, services: [{ name: "orders", class: "order", floorSlots: -1 }] },
        problem: /services\.0\.floorSlots: found -1/,
    },
    {
        title: "a route to an unknown service is reported",
        manifest: { ...VALID, routes: [{ pathPrefix: "/x", service: "x" }] },
        problem: /routes\.0\.service: found "x": no such service; allowed: orders/,
    },
    {
        title: "a duplicate service name is rejected",
        manifest: { ...VALID, services: [...VALID.services, ...VALID.services] },
        problem: /services\.1\.name: found "orders": used twice/,
    },
    {
        title: "a duplicate failure domain is rejected",
        manifest: { ...VALID, fleet: { ...VALID.fleet, failureDomains: ["a", "a"] } },
        problem: /fleet\.failureDomains\.1\.name: found "a": used twice/,
    },
    {
        title: "a path prefix without a leading slash is rejected",
        manifest: { ...VALID, routes: [{ pathPrefix: "orders", service: "orders" }] },
        problem: /routes\.0\.pathPrefix: found "orders"/,
    },
];

for (const { title, manifest, problem } of cases) {
    test(title, (t) => {
        const error = t.throws(() => parseManifest(JSON.stringify(manifest), "manifest.json"), { any: true }) as Error;
        t.regex(error.message, /^manifest manifest\.json: /);
        t.regex(error.message, problem);
    });
}

test("the error for a manifest that cannot be parsed names the file", (t) => {
    const error = t.throws(() => parseManifest("fleet = [", "manifest.toml"), { any: true }) as Error;
    t.regex(error.message, /^manifest manifest\.toml: cannot be parsed: /);
});

test("a valid manifest gets its defaults", (t) => {
    const manifest = parseManifest(JSON.stringify(VALID), "manifest.json");
    t.is(manifest.services[0]?.slotsPerEndpoint, 5);
    t.deepEqual(manifest.routes[0]?.idempotentMethods, ["GET", "HEAD", "OPTIONS"]);
});
