/**
 * A token budget that bounds retries.
 */
import type { Clock } from '../clock/mod.ts';

/** Tokens that refill with time. */
export interface RetryBudget {
  /** Takes a token; false when there is none. */
  take(): boolean;
  tokens(): number;
}

/**
 * Makes a full budget.
 *
 * @example
 * const budget = makeRetryBudget({ clock, capacity: 10, perMinute: 60 });
 */
export function makeRetryBudget(options: {
  clock: Clock;
  capacity: number;
  perMinute: number;
}): RetryBudget {
  const { clock, capacity, perMinute } = options;
  let tokens = capacity;
  let filledAt = clock.now();
  const fill = () => {
    const now = clock.now();
    tokens = Math.min(capacity, tokens + ((now - filledAt) * perMinute) / 60_000);
    filledAt = now;
    return tokens;
  };
  return {
    tokens: fill,
    take() {
      if (fill() < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
