/**
 * Plans an open-loop run: when each request is sent, and what it requests.
 */
import { pickIndex } from '../clock/mod.ts';
import type { Random } from '../clock/mod.ts';
import type { WorkKind } from '../schema/mod.ts';

/** One planned request. */
export interface Arrival {
  /** Time at which the request is sent, from the start of the run. */
  dueAtMs: number;
  kind: WorkKind;
  teamIndex: number;
  targetIndex: number;
  /** Unique within a run. Workers echo it, which reveals mixed-up and repeated executions. */
  nonce: string;
  /** Whether the same request id is also sent to another entry process. */
  isRepeated: boolean;
}

/** The parameters of a run. */
export interface LoadPlan {
  seed: number;
  ratePerSecond: number;
  durationMs: number;
  /** Weight of each kind of work. */
  mix: Partial<Record<WorkKind, number>>;
  teamCount: number;
  targetCount: number;
  /** Fraction of lookups that are sent twice with one request id, from 0 to 1. */
  repeatFraction?: number;
}

function pickKind(random: Random, mix: LoadPlan['mix']): WorkKind {
  const weights = Object.entries(mix) as [WorkKind, number][];
  const total = weights.reduce((sum, [, weight]) => sum + weight, 0);
  let remainingWeight = random() * total;
  const picked = weights.find(([, weight]) => {
    remainingWeight -= weight;
    return remainingWeight < 0;
  });
  return picked?.[0] ?? 'lookup';
}

/**
 * Draws the arrivals of a Poisson process; the same seed gives the same arrivals.
 *
 * @example
 * const arrivals = planArrivals({ ...plan, seed: 1, mix: { lookup: 9, batch: 1 } }, makeRandom(1));
 */
export function planArrivals(plan: LoadPlan, random: Random): Arrival[] {
  const { seed, ratePerSecond, durationMs, mix, teamCount, targetCount, repeatFraction = 0 } = plan;
  const arrivals: Arrival[] = [];
  const drawGapMs = () => (-Math.log(1 - random()) / ratePerSecond) * 1_000;
  for (let dueAtMs = drawGapMs(); dueAtMs < durationMs; dueAtMs += drawGapMs()) {
    const kind = pickKind(random, mix);
    arrivals.push({
      ...{
        dueAtMs,
        kind,
        teamIndex: pickIndex(random, teamCount),
        targetIndex: pickIndex(random, targetCount),
      },
      nonce: `${seed}-${arrivals.length}`,
      isRepeated: kind === 'lookup' && random() < repeatFraction,
    });
  }
  return arrivals;
}
