/**
 * Gangs: places for all tasks at once, or none.
 *
 * The plan names the whole set of places before any of them is held. Holds are asked for in order of
 * member id and given back on the first refusal, so two gangs never each keep a part that the other
 * needs; the delay before the next try grows and is jittered.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Size } from '../schema/mod.ts';
import type { Candidate } from './placement.ts';
import { countFittingCopies, addScaled } from './_size.ts';
import { retryDelayMs } from './retries.ts';

/** What a gang asks for. */
export interface GangRequest {
  size: Size;
  count: number;
  /** Largest set of hosts that the gang may be placed over. */
  across: 'rack' | 'data-centre' | 'fleet';
  spread: 'none' | 'rack' | 'data-centre';
  onlyDataCentres?: string[];
}

/** How many tasks go to one worker. */
export interface GangPlacement {
  worker: string;
  count: number;
}

/** Places for the whole gang. */
export interface GangPlan {
  places: GangPlacement[];
  reason: string;
}

interface FittingWorker {
  candidate: Candidate;
  fittingTasks: number;
}

function groupByDomain(
  workers: FittingWorker[],
  getKey: (candidate: Candidate) => string,
): Map<string, FittingWorker[]> {
  const groups = new Map<string, FittingWorker[]>();
  workers.forEach((worker) => {
    const key = getKey(worker.candidate);
    groups.set(key, [...(groups.get(key) ?? []), worker]);
  });
  return groups;
}

function countFittingTasks(workers: FittingWorker[]): number {
  return workers.reduce((total, worker) => total + worker.fittingTasks, 0);
}

const domainKeys = {
  fleet: () => 'fleet',
  'data-centre': ({ dataCentre }: Candidate) => dataCentre,
  rack: ({ dataCentre, rack }: Candidate) => `${dataCentre}/${rack}`,
};

function packTasks(workers: FittingWorker[], count: number): GangPlacement[] {
  // One worker that holds the rest exactly beats the one with most room.
  const places: GangPlacement[] = [];
  let remaining = count;
  const available = [...workers].sort((a, b) => b.fittingTasks - a.fittingTasks);
  while (remaining > 0 && available.length > 0) {
    const needed = remaining;
    const smallestIndex = available.findLastIndex((worker) => worker.fittingTasks >= needed);
    const [worker] = available.splice(Math.max(0, smallestIndex), 1);
    if (worker) {
      const taken = Math.min(remaining, worker.fittingTasks);
      places.push({ worker: worker.candidate.id, count: taken });
      remaining -= taken;
    }
  }
  return places;
}

function spreadTasks(
  workers: FittingWorker[],
  count: number,
  by: 'rack' | 'data-centre',
): GangPlacement[] {
  const domains = [...groupByDomain(workers, domainKeys[by]).values()]
    .map((domainWorkers) => [...domainWorkers].sort((a, b) => b.fittingTasks - a.fittingTasks))
    .sort((a, b) => countFittingTasks(b) - countFittingTasks(a));
  const assigned = new Map<string, number>();
  let remaining = count;
  let hasProgress = true;
  while (remaining > 0 && hasProgress) {
    hasProgress = false;
    for (let i = 0; i < domains.length && remaining > 0; i++) {
      const worker = domains[i]?.find(
        ({ candidate, fittingTasks: maxTasks }) => (assigned.get(candidate.id) ?? 0) < maxTasks,
      );
      if (worker) {
        assigned.set(worker.candidate.id, (assigned.get(worker.candidate.id) ?? 0) + 1);
        remaining -= 1;
        hasProgress = true;
      }
    }
  }
  return [...assigned].map(([worker, taskCount]) => ({ worker, count: taskCount }));
}

/**
 * Finds places for all tasks within one allowed set of hosts, the tightest set first.
 *
 * @example
 * planGang(request, candidates).map(({ places }) => places.length);
 */
export function planGang(
  request: GangRequest,
  candidates: Iterable<Candidate>,
): Either<string, GangPlan> {
  const { size, count, across, spread, onlyDataCentres } = request;
  const fittingWorkers: FittingWorker[] = [];
  [...candidates].forEach((candidate) => {
    if (!candidate.open || candidate.penalty >= 1) return;
    if (onlyDataCentres?.length && !onlyDataCentres.includes(candidate.dataCentre)) return;
    const fitting = countFittingCopies(size, addScaled(candidate.capacity, candidate.used, -1));
    if (fitting > 0) fittingWorkers.push({ candidate, fittingTasks: Math.min(fitting, count) });
  });
  const levelOrder: (keyof typeof domainKeys)[] =
    spread === 'none' ? ['rack', 'data-centre', 'fleet'] : ['data-centre', 'fleet'];
  const allowed = levelOrder.slice(0, levelOrder.indexOf(across) + 1);
  const levels = allowed.length > 0 ? allowed : [across];
  // A gang spread over data centres starts with the widest set, all others with the tightest.
  if (spread === 'data-centre') levels.reverse();
  const listDomains = (level: keyof typeof domainKeys) => [
    ...groupByDomain(fittingWorkers, domainKeys[level]),
  ];
  const chosenDomain = levels
    .flatMap((level) => {
      const feasible = listDomains(level).filter(
        ([, domainWorkers]) => countFittingTasks(domainWorkers) >= count,
      );
      const tightest = feasible.sort(
        ([, a], [, b]) => countFittingTasks(a) - countFittingTasks(b),
      )[0];
      return tightest ? [{ level, name: tightest[0], domainWorkers: tightest[1] }] : [];
    })
    .at(0);
  if (chosenDomain) {
    const { level, name, domainWorkers } = chosenDomain;
    const places =
      spread === 'none'
        ? packTasks(domainWorkers, count)
        : spreadTasks(domainWorkers, count, spread);
    return Right({ places, reason: `all ${count} tasks fit in ${level} ${name}` });
  }
  const maxTasks = Math.max(
    0,
    ...listDomains(across).map(([, domainWorkers]) => countFittingTasks(domainWorkers)),
  );
  return Left(`only ${maxTasks} of ${count} tasks fit within one ${across}`);
}

/**
 * Order in which owners are asked for holds, so that two gangs ask in the same order.
 *
 * @example
 * holdOrder(plan.places, (worker) => ownerOf(worker));
 */
export function orderHolds(
  places: GangPlacement[],
  getOwner: (worker: string) => string,
): { owner: string; places: GangPlacement[] }[] {
  const byOwner = new Map<string, GangPlacement[]>();
  places.forEach((place) => {
    const owner = getOwner(place.worker);
    byOwner.set(owner, [...(byOwner.get(owner) ?? []), place]);
  });
  return [...byOwner]
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .map(([owner, list]) => ({ owner, places: list }));
}

/**
 * Delay before a gang that was refused a hold tries again.
 *
 * @example
 * gangRetryMs(2, random);
 */
export function gangRetryMs(attempt: number, random: () => number): number {
  return retryDelayMs(attempt, random, { firstMs: 250, maxMs: 15_000 });
}
