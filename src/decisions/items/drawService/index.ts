import { WeightedService } from "../WeightedService.js";

/**
 * Draws a service of a split in proportion to the weights.
 *
 * @param services - Services of a route.
 * @param random - Source of numbers from 0 up to, but not including, 1.
 * @returns The name of the service drawn, or undefined if there is none with a weight.
 * @example
 * drawService([{ service: "a", weight: 1 }], Math.random); // "a"
 */
export function drawService(services: readonly WeightedService[], random: () => number): string | undefined {
    const total = services.reduce((sum, { weight }) => sum + Math.max(0, weight), 0);
    let left = random() * total;
    for (const { service, weight } of services) {
        left -= Math.max(0, weight);
        if (left < 0) {
            return service;
        }
    }
    return undefined;
}
