import { WeightedService } from "../WeightedService.js";

/**
 * Picks a service at random, in proportion to the weights of the traffic split.
 *
 * @param services - Services of a route.
 * @param random - Source of numbers from 0 up to, but not including, 1.
 * @returns Name of the service, or undefined if none has a positive weight.
 * @example
 * pickService([{ service: "a", weight: 1 }], Math.random); // "a"
 */
export function pickService(services: readonly WeightedService[], random: () => number): string | undefined {
    const total = services.reduce((sum, { weight }) => sum + Math.max(0, weight), 0);
    let remaining = random() * total;
    for (const { service, weight } of services) {
        remaining -= Math.max(0, weight);
        if (remaining < 0) {
            return service;
        }
    }
    return undefined;
}
