/**
 * Weighted fair sharing of the fleet between organisations that have active jobs. Work of an
 * organisation below its share is placed before equally urgent work of one above its share, so that an
 * organisation that submits many times its usual load does not displace the others.
 */
import type { Configuration } from '../model/mod.ts';
import type { CellState, Worker } from './state.ts';

/**
 * Computes each organisation's share of the workers' CPU, in millicores.
 *
 * @example
 * computeFairShares(state, configuration, workers).get('ledger');
 */
export function computeFairShares(
  state: CellState,
  { organisations }: Configuration,
  workers: Iterable<Worker>,
): Map<string, number> {
  const withActiveJobs = new Set(
    [...state.activeJobs].map(({ accepted }) => accepted.organisation),
  );
  const active = organisations.filter(({ name }) => withActiveJobs.has(name));
  const totalWeight = active.reduce((sum, { weight }) => sum + weight, 0);
  let capacity = 0;
  for (const { entry } of workers) capacity += entry.capacity.cpu;
  return new Map(
    active.map(({ name, weight }) => [
      name,
      totalWeight > 0 ? (capacity * weight) / totalWeight : 0,
    ]),
  );
}

/** Returns the CPU that an organisation may still use within its share, in millicores. */
export function getRemainingShare(
  state: CellState,
  shares: ReadonlyMap<string, number>,
  organisation: string,
): number {
  return (shares.get(organisation) ?? 0) - (state.usage.get(organisation)?.cpu ?? 0);
}
