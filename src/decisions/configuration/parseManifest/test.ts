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
    /** What the error has to say. */
    readonly problem: RegExp;
}

const cases: readonly Case[] = [
    { title: "an unknown field is named", manifest: { ...VALID, colour: "red" }, problem: /Unrecognized key: "colour"/ },
    { title: "a missing table is named", manifest: { ...VALID, routes: undefined }, problem: /routes: found nothing/ },
    {
        title: "a wrong class is named with what is allowed",
        manifest: { ...VALID, services: [{ name: "orders", class: "parcel", floorSlots: 5 }] },
        problem: /services\.0\.class: found "parcel": .*"lookup"/,
    },
    {
        title: "a number out of range is named",
        manifest: { ...VALID, services: [{ name: "orders", class: "order", floorSlots: -1 }] },
        problem: /services\.0\.floorSlots: found -1/,
    },
    {
        title: "a route to an unknown service is named",
        manifest: { ...VALID, routes: [{ pathPrefix: "/x", service: "x" }] },
        problem: /routes\.0\.service: found "x": no such service; allowed: orders/,
    },
    {
        title: "a service named twice is refused",
        manifest: { ...VALID, services: [...VALID.services, ...VALID.services] },
        problem: /services\.1\.name: found "orders": used twice/,
    },
    {
        title: "a failure domain named twice is refused",
        manifest: { ...VALID, fleet: { ...VALID.fleet, failureDomains: ["a", "a"] } },
        problem: /fleet\.failureDomains\.1\.name: found "a": used twice/,
    },
    {
        title: "a route without a leading slash is refused",
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

test("a manifest that cannot be parsed names the file", (t) => {
    const error = t.throws(() => parseManifest("fleet = [", "manifest.toml"), { any: true }) as Error;
    t.regex(error.message, /^manifest manifest\.toml: cannot be parsed: /);
});

test("a valid manifest gets its defaults", (t) => {
    const manifest = parseManifest(JSON.stringify(VALID), "manifest.json");
    t.is(manifest.services[0]?.slotsPerEndpoint, 5);
    t.deepEqual(manifest.routes[0]?.idempotentMethods, ["GET", "HEAD", "OPTIONS"]);
});
