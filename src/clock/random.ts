/**
 * Seeded random numbers.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Returns random numbers from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;

const warmUpDraws = 16;

/**
 * Makes a random source that yields the same sequence for the same seed.
 *
 * @example
 * const random = makeRandom(7);
 * random();
 */
export function makeRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  // Small seeds produce similar first values, which are discarded.
  for (let i = 0; i < warmUpDraws; i++) uniformFloat64(generator);
  return () => uniformFloat64(generator);
}

/**
 * Returns a random integer from 0 (inclusive) to the bound (exclusive).
 *
 * @example
 * pickIndex(makeRandom(1), 10);
 */
export function pickIndex(random: Random, bound: number): number {
  return Math.floor(random() * bound);
}
