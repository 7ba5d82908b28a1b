import * as z from "zod";
import { LogFormat } from "../logs/LogFormat.js";
import { Role } from "../model/Role.js";

const port = z.number().int().min(0).max(65_535);
const address = z.string().regex(/^[^\s:]+:\d{1,5}$/, "host:port");

/** Schema of the settings file of a daemon. */
export const settingsSchema = z.strictObject({
    vm: z.strictObject({
        name: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "lower-case letters, digits and dashes, at most 63"),
        failureDomain: z.string().min(1).max(63),
        address: z.string().min(1),
    }),
    roles: z.array(z.enum(Role)).min(1),
    proxy: z.strictObject({
        callerPort: port,
        gatePort: port,
        announcePort: port,
    }).optional(),
    links: z.strictObject({
        port,
        seeds: z.array(address).default([]),
        fleetKey: z.string().min(16),
    }),
    operator: z.strictObject({
        host: z.string().default("127.0.0.1"),
        port,
        token: z.string().min(16).optional(),
    }),
    control: z.strictObject({
        dataFolder: z.string().min(1),
    }).optional(),
    logs: z.strictObject({
        format: z.enum(LogFormat).default(LogFormat.Json),
    }).default({ format: LogFormat.Json }),
    metrics: z.strictObject({
        statsdHost: z.string().min(1),
        statsdPort: port,
    }).optional(),
}).superRefine((settings, context) => {
    if (settings.roles.includes(Role.Proxy) && settings.proxy === undefined) {
        context.addIssue({ code: "custom", path: ["proxy"], message: "the role \"proxy\" needs this table" });
    }
    if (settings.roles.includes(Role.Control) && settings.control === undefined) {
        context.addIssue({ code: "custom", path: ["control"], message: "the role \"control\" needs this table" });
    }
    if (!settings.operator.host.startsWith("127.") && settings.operator.token === undefined) {
        context.addIssue({ code: "custom", path: ["operator", "token"], message: "required unless operator.host is a loopback address" });
    }
});
