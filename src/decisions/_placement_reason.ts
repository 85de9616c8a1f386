/**
 * Short reasons for choices and refusals of the placement index.
 */
import type { Need } from '../schema/mod.ts';
import type { Candidate } from './placement.ts';
import { resourceNames, toVector } from './_size.ts';

/** Why the worker was chosen. */
export function describeChoice(candidate: Candidate, need: Need, relaxed: boolean): string {
  const basis =
    need.kind === 'lookup'
      ? `shortest expected delay (${candidate.outstanding} in progress, ${Math.round(candidate.latencyMs)} ms)`
      : 'best fit for free room';
  return relaxed ? `${basis}; no room outside avoided racks and data centres` : basis;
}

function describeSize(need: Need): string {
  return toVector(need.size)
    .map((amount, d) => (amount > 0 ? `${amount} ${resourceNames[d] ?? ''}` : ''))
    .filter((part) => part !== '')
    .join(', ');
}

/** Why no worker was chosen. */
export function describeShortage(
  need: Need,
  { infeasible, kept, largest }: { infeasible: boolean; kept: boolean; largest: number[] },
): string {
  if (infeasible) return `no worker can hold ${describeSize(need)}, even empty`;
  if (kept) return 'the free room is kept for urgent lookups';
  const short = toVector(need.size).findIndex((amount, d) => amount > (largest[d] ?? 0) + 1e-9);
  if (short < 0) return `no allowed worker has ${describeSize(need)} free at once`;
  const wanted = toVector(need.size)[short] ?? 0;
  return `no open worker has ${wanted} ${resourceNames[short] ?? ''} free`;
}
