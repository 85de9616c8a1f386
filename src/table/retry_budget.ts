/**
 * Tokens for retries, shared by all parts of a process, so that the end of an outage does not cause
 * a retry storm.
 */
import type { Clock, Random } from '../clock/mod.ts';

/** Gives out tokens for retries. First attempts take none. */
export interface RetryBudget {
  /** Takes one token; false when there is none, and then the caller gives up instead of retrying. */
  take(): boolean;
  available(): number;
}

const defaultCapacity = 20;
const defaultRefillPerSecond = 2;

/**
 * Makes a budget that starts full and refills with time.
 *
 * @example
 * const budget = makeRetryBudget({ clock });
 * if (!budget.take()) return failWith(ErrorKind.BudgetExhausted, 'no retry token is left');
 */
export function makeRetryBudget({
  clock,
  capacity = defaultCapacity,
  refillPerSecond = defaultRefillPerSecond,
}: {
  clock: Clock;
  capacity?: number;
  refillPerSecond?: number;
}): RetryBudget {
  let tokens = capacity;
  let refilledAt = clock.now();
  const refill = () => {
    const now = clock.now();
    tokens = Math.min(capacity, tokens + ((now - refilledAt) / 1_000) * refillPerSecond);
    refilledAt = now;
  };
  return {
    take() {
      refill();
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
    available() {
      refill();
      return Math.floor(tokens);
    },
  };
}

const defaultBaseMs = 50;
const defaultMaxMs = 2_000;

/**
 * Time to wait before a retry: doubles with each attempt up to a bound, and the upper half is random.
 *
 * @example
 * await clock.sleep(backoffMs(2, random));
 */
export function backoffMs(
  attempt: number,
  random: Random,
  { baseMs = defaultBaseMs, maxMs = defaultMaxMs }: { baseMs?: number; maxMs?: number } = {},
): number {
  const delayMs = Math.min(maxMs, baseMs * 2 ** Math.min(attempt, 16));
  return delayMs / 2 + (random() * delayMs) / 2;
}
