import * as z from "zod";
import { parseDuration } from "../settings/parseDuration/index.js";

const address = z.string().regex(/^[^\s:]+:\d{1,5}$/, "host:port");
const durationMs = z.string().transform((text, context) => {
    const milliseconds = parseDuration(text);
    if (milliseconds === undefined) {
        context.addIssue({ code: "custom", message: "a number and its unit, ms or s" });
        return z.NEVER;
    }
    return milliseconds;
});

const DEFAULT_QUOTA_WINDOW_MS = 5_000;
const DEFAULT_QUOTA_OVERSHOOT = 0.1;
const DEFAULT_QUOTA_SLACK = 20;

/** Schema of the settings of a proxy or a control VM. Unknown fields are ignored. */
export const meshSettingsSchema = z.object({
    vm: z.object({
        name: z.string().min(1).max(255),
        failureDomain: z.string().min(1),
        ip: z.string().min(1),
        /** True if the whole fleet starts for the first time. */
        isFirstStart: z.boolean(),
    }),
    links: z.object({
        /** First of the consecutive ports for traffic within the fleet. */
        firstPort: z.number().int().min(1).max(65_535),
        fleetKey: z.string().min(16),
        /** Operator addresses of some control VMs; may be outdated. */
        seeds: z.array(address),
    }),
    /** Settings of a proxy; absent on a control VM. */
    proxy: z.object({
        callerAddress: address,
        readyAddress: address,
        announceAddress: address,
        backendAddress: address,
        service: z.string(),
    }).optional(),
    /** Settings of a control VM; absent on a proxy. */
    control: z.object({
        address,
        dataFolder: z.string().min(1),
    }).optional(),
    /** Address at which metrics are served; absent if they are not served. */
    metrics: z.object({ address }).optional(),
    terms: z.object({
        /** Number of control VMs that may fail at the same time. */
        toleratedLosses: z.number().int().min(0),
        /** Time between the request to stop a process and its forced end, in ms. */
        grace: durationMs,
        retryRatio: z.number().nonnegative(),
        retryWindow: durationMs,
        retrySlack: z.number().nonnegative(),
        /** Window in which the requests of an organisation are counted, in ms. */
        quotaWindow: durationMs.default(DEFAULT_QUOTA_WINDOW_MS),
        /** Share of its quota by which an organisation may exceed it while processes fail. */
        quotaOvershoot: z.number().nonnegative().default(DEFAULT_QUOTA_OVERSHOOT),
        /** Requests in a window by which an organisation may exceed its quota beyond that. */
        quotaSlack: z.number().nonnegative().default(DEFAULT_QUOTA_SLACK),
    }),
}).refine((settings) => settings.proxy !== undefined || settings.control !== undefined, "one of the tables proxy and control is needed");
