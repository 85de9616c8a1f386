/**
 * Room kept free for urgent lookups, from their arrival rate and run time.
 *
 * With arrivals at rate r and mean run time s, the lookups in progress number r·s on average and
 * vary by the square root of that, whatever the distribution of run times is. Room is kept for
 * one deviation above the mean, less what lookups already hold.
 */

/** Observes lookups and says how much room to keep. */
export interface LookupHeadroom {
  arrived(now: number): void;
  finished(runMs: number): void;
  /** Places that heavy work must leave free now. */
  kept(now: number, inProgress: number): number;
}

interface DecayingRate {
  halfLifeMs: number;
  perMs: number;
  at: number;
}

// With 3 and at least 2 places, heavy work waited 16.6 s on average on Kereru instead of 11.4 s, and
// no more lookups started in time: a lookup can wait for one to end.
const headroomDeviations = 1;

function computeRate({ halfLifeMs, perMs, at }: DecayingRate, now: number): number {
  return perMs * 0.5 ** (Math.max(0, now - at) / halfLifeMs);
}

/**
 * Makes the headroom of one process.
 *
 * @example
 * const headroom = makeLookupHeadroom();
 * headroom.arrived(now);
 * headroom.kept(now, 0);
 */
export function makeLookupHeadroom({
  minLookups = 1,
  // A fast rate follows bursts, a slow one remembers them; the larger counts.
  halfLivesMs = [5_000, 120_000],
}: { minLookups?: number; halfLivesMs?: number[] } = {}): LookupHeadroom {
  const rates: DecayingRate[] = halfLivesMs.map((halfLifeMs) => ({ halfLifeMs, perMs: 0, at: 0 }));
  let meanRunMs = 100;
  return {
    arrived(now) {
      rates.forEach((rate) => {
        const target = rate;
        target.perMs = computeRate(rate, now) + Math.LN2 / rate.halfLifeMs;
        target.at = now;
      });
    },
    finished(runMs) {
      meanRunMs += (runMs - meanRunMs) * 0.02;
    },
    kept(now, inProgress) {
      const perMs = rates.reduce((largest, rate) => Math.max(largest, computeRate(rate, now)), 0);
      const meanInProgress = perMs * meanRunMs;
      return Math.max(
        minLookups,
        Math.ceil(meanInProgress + headroomDeviations * Math.sqrt(meanInProgress) - inProgress),
      );
    },
  };
}
