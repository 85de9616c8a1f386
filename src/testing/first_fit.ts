/**
 * Small stand-ins for the decision modules, for tests of other parts.
 */
import { Left, Right } from 'purify-ts';

import { PlacementOutcome } from '../decisions/mod.ts';
import type { Candidate, PlacementIndex, PendingJob, PendingJobs } from '../decisions/mod.ts';
import type { Need, Size } from '../schema/mod.ts';

const fields = ['processors', 'memoryMb', 'accelerators', 'slots'] as const;

function fits(size: Size, { capacity, used }: Pick<Candidate, 'capacity' | 'used'>): boolean {
  return fields.every((field) => size[field] <= capacity[field] - used[field] + 1e-6);
}

function matches(candidate: Candidate, need: Need): boolean {
  const { id, rack, dataCentre } = candidate;
  return (
    candidate.open &&
    candidate.penalty < 1 &&
    !need.avoidWorkers?.includes(id) &&
    !need.avoidRacks?.includes(rack) &&
    !need.avoidDataCentres?.includes(dataCentre) &&
    (need.onlyDataCentres?.includes(dataCentre) ?? true) &&
    (need.onlyRacks?.includes(rack) ?? true)
  );
}

/**
 * Makes an index that takes the first worker that fits.
 *
 * @example
 * const placement = makeFirstFit();
 */
export function makeFirstFit(): PlacementIndex {
  const candidates = new Map<string, Candidate>();
  const empty: Size = { processors: 0, memoryMb: 0, accelerators: 0, slots: 0 };
  return {
    upsert: (candidate) => candidates.set(candidate.id, candidate),
    remove: (worker) => candidates.delete(worker),
    get: (worker) => candidates.get(worker),
    size: () => candidates.size,
    choose(need) {
      const all = [...candidates.values()];
      const found = all.find((item) => matches(item, need) && fits(need.size, item));
      if (found) return Right({ worker: found.id, reason: 'first fit' });
      const infeasible = !all.some(({ capacity }) => fits(need.size, { capacity, used: empty }));
      return Left({ infeasible, reason: 'no worker has room' });
    },
  };
}

/**
 * Makes waiting work that is tried in order of arrival.
 *
 * @example
 * const waiting = makeArrivalOrder();
 */
export function makeArrivalOrder(): PendingJobs {
  const items = new Map<string, PendingJob>();
  return {
    add: (item) => items.set(item.id, item),
    remove: (id) => items.delete(id),
    get: (id) => items.get(id),
    size: (team) =>
      [...items.values()].filter((item) => team === undefined || item.team === team).length,
    runRound({ place }) {
      const held = new Set<string>();
      return [...items.values()].filter((item) => {
        if (held.has(item.team)) return false;
        const trial = place(item, { backfill: false });
        if (trial === PlacementOutcome.TeamAtLimit) held.add(item.team);
        if (trial !== PlacementOutcome.Placed) return false;
        if (items.get(item.id) === item) items.delete(item.id);
        return true;
      });
    },
    explain: (id) => (items.has(id) ? 'waits for room' : undefined),
  };
}
