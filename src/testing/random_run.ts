/**
 * Parameters of randomised tests. Without settings a test has the same seed in every run, so that CI
 * has one verdict. `TEST_SEED=fresh` draws another seed and prints it, `TEST_SEED=NUMBER` repeats that
 * seed, and `TEST_RUNS=NUMBER` raises the number of runs.
 */
import type { Parameters } from 'fast-check';

/** Settings from the environment. */
export interface RandomRunSettings {
  TEST_SEED?: string | undefined;
  TEST_RUNS?: string | undefined;
}

const ciSeed = 1;
const maxSeed = 2 ** 31 - 1;

function readInteger(name: keyof RandomRunSettings, text: string): number {
  const value = text.trim() === '' ? NaN : Number(text);
  if (!Number.isInteger(value)) {
    throw new Error(`${name} is ${JSON.stringify(text)}; expected an integer`);
  }
  return value;
}

function readSeed(text: string | undefined): number {
  if (text === undefined) return ciSeed;
  return text === 'fresh' ? Math.floor(Math.random() * maxSeed) : readInteger('TEST_SEED', text);
}

/**
 * The parameters of a randomised test. `cases` are inputs that failed once; they run first, besides
 * the `numRuns` random ones.
 *
 * @example
 * await fc.assert(property, randomRun({ numRuns: 40, cases: [[-907621904]] }));
 */
export function randomRun<T>(
  { numRuns, cases = [] }: { numRuns: number; cases?: T[] },
  settings: RandomRunSettings = process.env,
): Parameters<T> {
  const { TEST_SEED, TEST_RUNS } = settings;
  const seed = readSeed(TEST_SEED);
  const runs = TEST_RUNS === undefined ? numRuns : readInteger('TEST_RUNS', TEST_RUNS);
  const wanted = Math.max(numRuns, runs);
  if (TEST_SEED !== undefined) {
    process.stdout.write(`TEST_SEED=${seed} TEST_RUNS=${wanted}\n`);
  }
  return {
    seed,
    numRuns: wanted + cases.length,
    examples: cases,
    endOnFailure: true,
    includeErrorInReport: true,
  };
}
