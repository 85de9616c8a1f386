/**
 * Shares of organisations when there is more work than room: each may use the part of the fleet that
 * its weight makes of the weights of all that have work. Work of an organisation that uses less than
 * its share goes before equally urgent work of one that uses more.
 *
 * Load answered: one organisation sends many times its usual while the others send theirs.
 */
import type { Configuration } from '../model/mod.ts';
import type { CellState, Worker } from './state.ts';

/**
 * Processor, in thousandths of a core, that is each organisation's share of the workers.
 *
 * @example
 * fairShares(state, configuration, workers).get('ledger');
 */
export function computeFairShares(
  state: CellState,
  { organisations }: Configuration,
  workers: Iterable<Worker>,
): Map<string, number> {
  const withWork = new Set([...state.activeJobs].map(({ accepted }) => accepted.organisation));
  const sharing = organisations.filter(({ name }) => withWork.has(name));
  const weights = sharing.reduce((sum, { weight }) => sum + weight, 0);
  let capacity = 0;
  for (const { entry } of workers) capacity += entry.capacity.cpu;
  return new Map(
    sharing.map(({ name, weight }) => [name, weights > 0 ? (capacity * weight) / weights : 0]),
  );
}

/** Processor that an organisation may still take within its share. */
export function getRemainingShare(
  state: CellState,
  shares: ReadonlyMap<string, number>,
  organisation: string,
): number {
  return (shares.get(organisation) ?? 0) - (state.usage.get(organisation)?.cpu ?? 0);
}
