/**
 * Delays and budgets for retries.
 */

/** Bounds of an exponential backoff. */
export interface BackoffOptions {
  firstMs?: number;
  maxMs?: number;
}

/**
 * Returns the delay before a retry; the first retry is attempt 1. The delay doubles with each
 * attempt, and half of it is jitter.
 *
 * @example
 * computeRetryDelayMs(3, random); // between 2,000 and 4,000
 */
export function computeRetryDelayMs(
  attempt: number,
  random: () => number,
  { firstMs = 1_000, maxMs = 300_000 }: BackoffOptions = {},
): number {
  const fullDelayMs = Math.min(maxMs, firstMs * 2 ** Math.min(30, Math.max(0, attempt - 1)));
  return fullDelayMs * (0.5 + random() / 2);
}

/** The retries that each team has left. */
export interface RetryBudget {
  /** Takes one retry; returns false when the team has none left. */
  tryTake(team: string, now: number): boolean;
  /** Time at which the team's next retry becomes available. */
  getNextRetryAt(team: string, now: number): number;
}

/**
 * Makes the retry budget of a process: a token bucket per team, filled by one minute at most.
 *
 * @example
 * makeRetryBudget({ perMinute: 60 }).tryTake('team-a', now);
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
