import { ModelService } from "./ModelService.js";

/**
 * Services of 100 VMs whose endpoints differ in speed and in number in each of 3 failure domains, with large bodies in both
 * directions and 360 requests per second in all.
 */
export const UNEVEN_SERVICES: readonly ModelService[] = [
    {
        name: "desk",
        endpointCount: 7,
        endpointsByDomain: [4, 1, 2],
        slots: 8,
        requestsPerSecond: 26,
        repeatableShare: 0.3,
        workMs: 600,
        failingShare: 0,
        slowness: [1, 2, 1.5, 3, 1, 2, 1],
        demandSwing: 0.5,
        targetLatencyMs: 2_500,
        responseBytes: 2_000,
        shortShare: 0.3,
        bodyBytes: 500,
    },
    {
        name: "upload",
        endpointCount: 14,
        endpointsByDomain: [6, 3, 5],
        slots: 8,
        requestsPerSecond: 24,
        repeatableShare: 0,
        workMs: 1_250,
        failingShare: 0.05,
        slowness: [1, 1.5, 2],
        demandSwing: 0.5,
        targetLatencyMs: 4_000,
        responseBytes: 300,
        bodyBytes: 60_000,
    },
    {
        name: "pages",
        endpointCount: 30,
        slots: 8,
        requestsPerSecond: 110,
        repeatableShare: 1,
        workMs: 500,
        failingShare: 0.1,
        demandSwing: 0.5,
        targetLatencyMs: 2_000,
        responseBytes: 24_000,
    },
    {
        name: "calls",
        endpointCount: 49,
        slots: 8,
        requestsPerSecond: 200,
        repeatableShare: 0.6,
        workMs: 200,
        failingShare: 0.1,
        demandSwing: 0.5,
        targetLatencyMs: 1_000,
        responseBytes: 400,
    },
];
