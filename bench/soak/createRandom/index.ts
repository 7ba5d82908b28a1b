import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/**
 * Creates a seeded random number generator.
 *
 * @param seed - Seed; equal seeds produce equal sequences.
 * @returns Generator of numbers in [0, 1).
 * @example
 * const random = createRandom(7);
 */
export function createRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => uniformFloat64(generator);
}
