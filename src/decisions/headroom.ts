/**
 * Capacity kept free for urgent lookups, derived from their arrival rate and run time.
 *
 * With arrival rate r and mean run time s, r·s lookups are in progress on average, with a standard
 * deviation of the square root of that for any distribution of run times. The headroom is one
 * deviation above the mean, less the lookups already in progress.
 */

/** Observes lookups and computes how much capacity to keep free. */
export interface LookupHeadroom {
  recordArrival(now: number): void;
  recordRunTime(runMs: number): void;
  /** Number of further lookups that jobs must leave capacity for now. */
  computeHeadroom(now: number, inProgress: number): number;
}

interface DecayingRate {
  halfLifeMs: number;
  perMs: number;
  updatedAt: number;
}

// With 3 deviations and a minimum of 2 lookups, jobs on the Kereru site waited 16.6 s on average
// instead of 11.4 s, and no more lookups started in time, because a lookup can wait for one to end.
const headroomDeviations = 1;

function computeRate({ halfLifeMs, perMs, updatedAt }: DecayingRate, now: number): number {
  return perMs * 0.5 ** (Math.max(0, now - updatedAt) / halfLifeMs);
}

/**
 * Makes the lookup headroom of one process.
 *
 * @example
 * const headroom = makeLookupHeadroom();
 * headroom.recordArrival(now);
 * headroom.computeHeadroom(now, 0);
 */
export function makeLookupHeadroom({
  minLookups = 1,
  // A short half-life follows bursts and a long one remembers them; the larger rate counts.
  halfLivesMs = [5_000, 120_000],
}: { minLookups?: number; halfLivesMs?: number[] } = {}): LookupHeadroom {
  const rates: DecayingRate[] = halfLivesMs.map((halfLifeMs) => ({
    halfLifeMs,
    perMs: 0,
    updatedAt: 0,
  }));
  let meanRunMs = 100;
  return {
    recordArrival(now) {
      rates.forEach((rate) => {
        const target = rate;
        target.perMs = computeRate(rate, now) + Math.LN2 / rate.halfLifeMs;
        target.updatedAt = now;
      });
    },
    recordRunTime(runMs) {
      meanRunMs += (runMs - meanRunMs) * 0.02;
    },
    computeHeadroom(now, inProgress) {
      const perMs = rates.reduce((largest, rate) => Math.max(largest, computeRate(rate, now)), 0);
      const meanInProgress = perMs * meanRunMs;
      return Math.max(
        minLookups,
        Math.ceil(meanInProgress + headroomDeviations * Math.sqrt(meanInProgress) - inProgress),
      );
    },
  };
}
