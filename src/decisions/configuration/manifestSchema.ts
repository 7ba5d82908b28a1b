import * as z from "zod";
import { DetectionPreference } from "../../model/DetectionPreference.js";
import { IdempotencyKeyPolicy } from "../../model/IdempotencyKeyPolicy.js";
import { ServiceClass } from "../../model/ServiceClass.js";

const name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, "lower-case letters, digits, dots and dashes, at most 63");
const positive = z.number().int().positive();
const rate = z.strictObject({
    requestsPerSecond: z.number().positive(),
    burst: positive,
});

/** Schema of the manifest, which specifies the desired configuration of a fleet. */
export const manifestSchema = z.strictObject({
    fleet: z.strictObject({
        name,
        detection: z.enum(DetectionPreference),
        failureDomains: z.array(name).min(1).max(64),
        witnessCount: z.union([z.literal(1), z.literal(3), z.literal(5)]).default(5),
        keyRetentionMs: positive.max(86_400_000).default(3_600_000),
        customerHeader: z.string().regex(/^[a-z0-9-]+$/, "a lower-case header name").default("x-customer"),
        customerDefault: rate.default({ requestsPerSecond: 1_000, burst: 2_000 }),
        retryShare: z.number().min(0).max(1).default(0.1),
    }),
    services: z.array(z.strictObject({
        name,
        class: z.enum(ServiceClass),
        floorSlots: z.number().int().min(0),
        slotsPerEndpoint: positive.default(5),
        connectionsPerEndpoint: positive.default(400),
        reservedSlots: z.number().int().min(0).default(0),
        queuePerEndpoint: z.number().int().min(0).default(20),
        deadlineMs: positive.max(3_600_000).default(10_000),
        hedgeAfterMs: positive.optional(),
        idempotencyKey: z.enum(IdempotencyKeyPolicy).default(IdempotencyKeyPolicy.Optional),
        notRunStatuses: z.array(z.number().int().min(400).max(599)).default([]),
    })).min(1),
    routes: z.array(z.strictObject({
        host: z.string().min(1).max(253).default("*"),
        pathPrefix: z.string().startsWith("/").max(1_024),
        service: name,
        class: z.enum(ServiceClass).optional(),
        idempotentMethods: z.array(z.string().regex(/^[A-Z]+$/, "an upper-case method")).default(["GET", "HEAD", "OPTIONS"]),
    })).min(1),
    customers: z.array(z.strictObject({
        name: z.string().min(1).max(128),
        requestsPerSecond: z.number().positive(),
        burst: positive,
    })).default([]),
});
