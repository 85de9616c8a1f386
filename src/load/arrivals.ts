/**
 * The plan of an open-loop run: when each request is due, and what it asks for.
 */
import { pickIndex } from '../clock/mod.ts';
import type { Random } from '../clock/mod.ts';
import type { WorkKind } from '../schema/mod.ts';

/** One planned request. */
export interface Arrival {
  /** Time after the start of the run. */
  atMs: number;
  kind: WorkKind;
  team: number;
  target: number;
  /** Unique within a run; workers echo it, so that a mixed-up or second execution shows. */
  nonce: string;
  /** The same request id is sent a second time, to another entry process. */
  repeated: boolean;
}

/** What arrives in a run. */
export interface Plan {
  seed: number;
  ratePerSecond: number;
  durationMs: number;
  /** Weight of each kind. */
  mix: Partial<Record<WorkKind, number>>;
  teams: number;
  targets: number;
  /** Part of the lookups that are sent twice with one request id, from 0 to 1. */
  repeatFraction?: number;
}

function pickKind(random: Random, mix: Plan['mix']): WorkKind {
  const weights = Object.entries(mix) as [WorkKind, number][];
  const total = weights.reduce((sum, [, weight]) => sum + weight, 0);
  let left = random() * total;
  const found = weights.find(([, weight]) => {
    left -= weight;
    return left < 0;
  });
  return found?.[0] ?? 'lookup';
}

/**
 * Draws Poisson arrivals; the same seed gives the same plan.
 *
 * @example
 * const arrivals = planArrivals({ ...plan, seed: 1, mix: { lookup: 9, batch: 1 } }, makeRandom(1));
 */
export function planArrivals(plan: Plan, random: Random): Arrival[] {
  const { seed, ratePerSecond, durationMs, mix, teams, targets, repeatFraction = 0 } = plan;
  const arrivals: Arrival[] = [];
  const gap = () => (-Math.log(1 - random()) / ratePerSecond) * 1_000;
  for (let atMs = gap(); atMs < durationMs; atMs += gap()) {
    const kind = pickKind(random, mix);
    arrivals.push({
      ...{ atMs, kind, team: pickIndex(random, teams), target: pickIndex(random, targets) },
      nonce: `${seed}-${arrivals.length}`,
      repeated: kind === 'lookup' && random() < repeatFraction,
    });
  }
  return arrivals;
}
