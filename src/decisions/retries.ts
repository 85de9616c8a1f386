/**
 * Delays and budgets of retries.
 */

/** Bounds of a growing delay. */
export interface BackoffOptions {
  firstMs?: number;
  maxMs?: number;
}

/**
 * Delay before the given attempt (1 for the first retry): doubles, with full jitter above half.
 *
 * @example
 * retryDelayMs(3, random); // between 2,000 and 4,000
 */
export function retryDelayMs(
  attempt: number,
  random: () => number,
  { firstMs = 1_000, maxMs = 300_000 }: BackoffOptions = {},
): number {
  const fullDelayMs = Math.min(maxMs, firstMs * 2 ** Math.min(30, Math.max(0, attempt - 1)));
  return fullDelayMs * (0.5 + random() / 2);
}

/** Retries that each team may still make. */
export interface RetryBudget {
  /** Takes one retry; false when the team has none left. */
  tryTake(team: string, now: number): boolean;
  /** When the team's next retry becomes free. */
  getNextRetryAt(team: string, now: number): number;
}

/**
 * Makes the retry budget of a process; unused retries are kept for at most one minute.
 *
 * @example
 * makeRetryBudget({ perMinute: 60 }).take('millers', now);
 */
export function makeRetryBudget({ perMinute }: { perMinute: number }): RetryBudget {
  const buckets = new Map<string, { tokens: number; at: number }>();
  const refill = (team: string, now: number) => {
    const previous = buckets.get(team) ?? { tokens: perMinute, at: now };
    const tokens = Math.min(
      perMinute,
      previous.tokens + ((now - previous.at) * perMinute) / 60_000,
    );
    const bucket = { tokens, at: now };
    buckets.set(team, bucket);
    return bucket;
  };
  return {
    tryTake(team, now) {
      const bucket = refill(team, now);
      if (bucket.tokens < 1) return false;
      bucket.tokens -= 1;
      return true;
    },
    getNextRetryAt(team, now) {
      const { tokens } = refill(team, now);
      return tokens >= 1 ? now : now + ((1 - tokens) * 60_000) / perMinute;
    },
  };
}
