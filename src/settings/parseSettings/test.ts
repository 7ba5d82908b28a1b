import test from "ava";
import { stringify } from "smol-toml";
import { parseSettings } from "./index.js";

const VALID = {
    roles: ["proxy"],
    vm: { name: "vm-1", failureDomain: "a", address: "127.0.0.1" },
    proxy: { callerPort: 1, gatePort: 2, announcePort: 3 },
    links: { port: 4, fleetKey: "0123456789abcdef" },
    operator: { port: 5 },
};

interface Case {
    readonly title: string;
    readonly settings: Record<string, unknown>;
    readonly problem: RegExp;
}

const cases: readonly Case[] = [
    { title: "an unknown setting is reported by name", settings: { ...VALID, colour: "red" }, problem: /Unrecognized key: "colour"/ },
    { title: "a port that is not a number is reported", settings: { ...VALID, operator: { port: "x" } }, problem: /operator\.port: found "x"/ },
    { title: "a port out of range is reported", settings: { ...VALID, operator: { port: 70_000 } }, problem: /operator\.port: found 70000/ },
    { title: "an unknown role is reported with the allowed roles", settings: { ...VALID, roles: ["boss"] }, problem: /roles\.0: found "boss".*"proxy"/ },
    { title: "a fleet key that is too short is reported", settings: { ...VALID, links: { port: 4, fleetKey: "short" } }, problem: /links\.fleetKey: found "short"/ },
    { title: "a role without its table is reported", settings: { ...VALID, roles: ["control"] }, problem: /control: found nothing.*needs this table/ },
    {
        title: "an operator API that is not on loopback requires a token",
        settings: { ...VALID, operator: { host: "10.0.0.1", port: 5 } },
        problem: /operator\.token: found nothing/,
    },
    { title: "a seed without a port is reported", settings: { ...VALID, links: { ...VALID.links, seeds: ["a"] } }, problem: /links\.seeds\.0: found "a": host:port/ },
];

for (const { title, settings, problem } of cases) {
    test(title, (t) => {
        const error = t.throws(() => parseSettings(stringify(settings), "settings.toml"), { any: true }) as Error;
        t.regex(error.message, /^settings settings\.toml: /);
        t.regex(error.message, problem);
    });
}
