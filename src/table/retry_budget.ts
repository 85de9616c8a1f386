/**
 * A token bucket that all parts of a process share for retries, to prevent a retry storm at the end
 * of an outage, and the backoff between retries.
 */
import type { Clock, Random } from '../clock/mod.ts';

/** A token bucket for retries. First attempts need no token. */
export interface RetryBudget {
  /** Takes one token. Returns false when none is left; the caller must then not retry. */
  take(): boolean;
  available(): number;
}

const defaultCapacity = 20;
const defaultRefillPerSecond = 2;

/**
 * Makes a budget that starts full and refills at a constant rate.
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
 * Returns the delay before a retry: it doubles with each attempt up to `maxMs`; half is random.
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
