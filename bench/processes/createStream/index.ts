import { createHash } from "node:crypto";
import { createRandom } from "../../soak/createRandom/index.js";

/**
 * Creates a seeded random number generator for one purpose. The first numbers of generators with neighbouring seeds resemble
 * each other, so that the seed is hashed.
 *
 * @param seed - Seed of the run.
 * @param purpose - What the numbers are for.
 * @returns Generator of numbers in [0, 1).
 * @example
 * const random = createStream(7, "faults");
 */
export function createStream(seed: number, purpose: string): () => number {
    return createRandom(createHash("sha256").update(`${purpose} ${seed}`).digest().readInt32LE());
}
