/**
 * Gang scheduling: places for all tasks of a gang at once, or for none.
 *
 * The plan contains all places before any of them is held. Holds are requested in order of member
 * id and released at the first refusal, so two gangs never block each other by each holding a part
 * of their places. Retries back off with jitter.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Size } from '../schema/mod.ts';
import type { Candidate } from './placement.ts';
import { countFittingCopies, addScaled } from './_size.ts';
import { computeRetryDelayMs } from './retries.ts';

/** The requirements of a gang. */
export interface GangRequest {
  size: Size;
  count: number;
  /** Largest domain that the gang may be placed across. */
  across: 'rack' | 'data-centre' | 'fleet';
  spread: 'none' | 'rack' | 'data-centre';
  onlyDataCentres?: string[];
}

/** A number of tasks to place on one worker. */
export interface GangPlacement {
  worker: string;
  count: number;
}

/** Placements for the whole gang. */
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
  // Prefers the smallest worker on which all remaining tasks fit, otherwise takes the largest.
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
        ({ candidate, fittingTasks }) => (assigned.get(candidate.id) ?? 0) < fittingTasks,
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
 * Finds places for all tasks within one allowed domain, trying narrow and tight domains first.
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
  // A gang spread over data centres starts with the widest level, all others with the narrowest.
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
 * Groups placements by owner, ordered by id, so that all gangs request holds in the same order.
 *
 * @example
 * orderHolds(plan.places, (worker) => ownerOf(worker));
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
 * Returns the delay before a gang whose hold was refused tries again.
 *
 * @example
 * computeGangRetryDelayMs(2, random);
 */
export function computeGangRetryDelayMs(attempt: number, random: () => number): number {
  return computeRetryDelayMs(attempt, random, { firstMs: 250, maxMs: 15_000 });
}
