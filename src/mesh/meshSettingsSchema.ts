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

/** Schema of the settings of a process that works beside an endpoint or keeps the configuration. Unknown fields are ignored. */
export const meshSettingsSchema = z.object({
    vm: z.object({
        name: z.string().min(1).max(255),
        failureDomain: z.string().min(1),
        ip: z.string().min(1),
        /** True if the whole fleet starts for the first time. */
        isFirstStart: z.boolean(),
    }),
    links: z.object({
        /** First of the ports that the fleet's processes use among themselves. */
        firstPort: z.number().int().min(1).max(65_535),
        fleetKey: z.string().min(16),
        /** Addresses at which operators reach some of the control VMs; may be out of date. */
        seeds: z.array(address),
    }),
    /** The proxy's part; absent on a control VM. */
    proxy: z.object({
        callerAddress: address,
        readyAddress: address,
        announceAddress: address,
        backendAddress: address,
        service: z.string(),
    }).optional(),
    /** The control VM's part; absent on a proxy. */
    control: z.object({
        address,
        dataFolder: z.string().min(1),
    }).optional(),
    /** Where the metrics are served; absent if nowhere. */
    metrics: z.object({ address }).optional(),
    terms: z.object({
        /** Control VMs that may be lost at the same time. */
        toleratedLosses: z.number().int().min(0),
        /** Time that a process has between the request to stop and its end. */
        grace: durationMs,
        retryRatio: z.number().nonnegative(),
        retryWindow: durationMs,
        retrySlack: z.number().nonnegative(),
    }),
}).refine((settings) => settings.proxy !== undefined || settings.control !== undefined, "one of the tables proxy and control is needed");
