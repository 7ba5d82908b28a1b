import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/**
 * Creates a repeatable source of random numbers.
 *
 * @param seed - Seed; the same one gives the same numbers.
 * @returns Source of numbers from 0 up to, but not including, 1.
 * @example
 * const random = createRandom(7);
 */
export function createRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => uniformFloat64(generator);
}
