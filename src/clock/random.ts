/**
 * Seeded random numbers.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Returns numbers from 0 up to, but not including, 1. */
export type Random = () => number;

const warmUpDraws = 16;

/**
 * Makes a reproducible random source.
 *
 * @example
 * const random = makeRandom(7);
 * random();
 */
export function makeRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  // The first values of small seeds are alike.
  for (let i = 0; i < warmUpDraws; i++) uniformFloat64(generator);
  return () => uniformFloat64(generator);
}

/**
 * Takes a whole number from 0 up to, but not including, the bound.
 *
 * @example
 * pickIndex(makeRandom(1), 10);
 */
export function pickIndex(random: Random, bound: number): number {
  return Math.floor(random() * bound);
}
