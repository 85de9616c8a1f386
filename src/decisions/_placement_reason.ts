/**
 * Texts that explain to operators why the placement index chose a worker or found none.
 */
import type { Need } from '../schema/mod.ts';
import type { Candidate } from './placement.ts';
import { resourceNames, toVector } from './_size.ts';

/** Explains why the worker was chosen. */
export function describeChoice(candidate: Candidate, need: Need, isRelaxed: boolean): string {
  const basis =
    need.kind === 'lookup'
      ? `shortest expected delay (${candidate.outstanding} in progress, ${Math.round(candidate.latencyMs)} ms)`
      : 'best fit for free capacity';
  return isRelaxed ? `${basis}; no free capacity outside avoided racks and data centres` : basis;
}

function describeSize(need: Need): string {
  return toVector(need.size)
    .map((amount, d) => (amount > 0 ? `${amount} ${resourceNames[d] ?? ''}` : ''))
    .filter((part) => part !== '')
    .join(', ');
}

/** Explains why no worker was chosen. */
export function describeFailure(
  need: Need,
  {
    isInfeasible,
    isBlockedByHeadroom,
    largestFree,
  }: { isInfeasible: boolean; isBlockedByHeadroom: boolean; largestFree: number[] },
): string {
  if (isInfeasible) return `no worker can hold ${describeSize(need)}, even empty`;
  if (isBlockedByHeadroom) return 'the free room is kept for urgent lookups';
  const scarceResource = toVector(need.size).findIndex(
    (amount, d) => amount > (largestFree[d] ?? 0) + 1e-9,
  );
  if (scarceResource < 0) return `no allowed worker has ${describeSize(need)} free at once`;
  const requiredAmount = toVector(need.size)[scarceResource] ?? 0;
  return `no open worker has ${requiredAmount} ${resourceNames[scarceResource] ?? ''} free`;
}
