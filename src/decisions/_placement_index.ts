/**
 * The placement index: workers in tournament trees by free capacity and by expected delay.
 *
 * A choice compares a few candidates of the best level in which one fits, so its cost grows with
 * the number of workers only by the depth of a tree.
 */
import { Left, Right } from 'purify-ts';

import type { Need, Size } from '../schema/mod.ts';
import type { Candidate, PlacementIndex } from './placement.ts';
import { estimateDelayMs, computeFitCost } from './_placement_score.ts';
import { describeChoice, describeFailure } from './_placement_reason.ts';
import { makeShard } from './_shard.ts';
import type { Shard } from './_shard.ts';
import { countFittingCopies, dimensionCount, addScaled } from './_size.ts';

const maxComparedCandidates = 6;
// Nodes visited before a tree is left for the next one. Trees are searched to the end only when
// this finds no worker.
const maxVisitsPerTree = 96;

/** Assumed size of an urgent lookup when capacity is kept free for it. */
export const defaultLookupSize: Size = {
  processors: 1,
  memoryMb: 512,
  accelerators: 0,
  slots: 1,
};

/** Options of a placement index. */
export interface PlacementIndexOptions {
  /** Draws where a search starts, from 0 to 1, so that equal workers get equal work. */
  random?: () => number;
  /** Number of lookups that jobs must leave capacity for on the indexed workers. */
  lookupHeadroom?: () => number;
  lookupSize?: Size;
  /**
   * The worker reserved for the oldest pending job. Its free capacity does not count as headroom
   * for lookups, and the job may use all of it.
   */
  reservedWorker?: () => string | undefined;
}

interface SearchResult {
  best?: Candidate;
  isComplete: boolean;
  /** A worker had enough free capacity, but it is kept for lookups. */
  isBlockedByHeadroom: boolean;
}

function isAllowed(candidate: Candidate, need: Need, shouldAvoid: boolean): boolean {
  if (need.avoidWorkers?.includes(candidate.id)) return false;
  if (need.onlyRacks?.length && !need.onlyRacks.includes(candidate.rack)) return false;
  if (need.onlyDataCentres?.length && !need.onlyDataCentres.includes(candidate.dataCentre)) {
    return false;
  }
  if (!shouldAvoid) return true;
  if (need.avoidRacks?.includes(candidate.rack)) return false;
  return !need.avoidDataCentres?.includes(candidate.dataCentre);
}

/**
 * Makes an empty index.
 *
 * `avoidWorkers` and the `only` lists of a need always apply. `avoidRacks` and `avoidDataCentres`
 * are ignored when no other worker has enough free capacity.
 *
 * @example
 * const index = makePlacementIndex({ lookupHeadroom: () => 4 });
 * index.upsert(candidate);
 * index.choose(need).map(({ worker }) => worker);
 */
export function makePlacementIndex(options: PlacementIndexOptions = {}): PlacementIndex {
  const {
    random,
    lookupHeadroom: keptForLookups = () => 0,
    lookupSize = defaultLookupSize,
  } = options;
  const { reservedWorker = () => undefined } = options;
  const candidates = new Map<string, { candidate: Candidate; lookups: number }>();
  const fleetShard = makeShard();
  const shardByDataCentre = new Map<string, Shard>();
  let totalLookups = 0;
  let lastFraction = 0;

  const getDataCentreShard = (name: string) => {
    const shard = shardByDataCentre.get(name) ?? makeShard();
    shardByDataCentre.set(name, shard);
    return shard;
  };

  const countLookups = ({ capacity, used, open, penalty }: Candidate) =>
    open && penalty < 1 ? countFittingCopies(lookupSize, addScaled(capacity, used, -1)) : 0;

  const deleteCandidate = (worker: string) => {
    const known = candidates.get(worker);
    if (!known) return;
    totalLookups -= known.lookups;
    candidates.delete(worker);
  };

  const nextStartFraction = () => {
    if (random) return random();
    // Steps of the golden ratio spread consecutive starts evenly over the workers.
    lastFraction = (lastFraction + 0.618_033_988_75) % 1;
    return lastFraction;
  };

  const leavesHeadroom = (candidate: Candidate, size: Size) => {
    const headroom = keptForLookups();
    if (headroom <= 0) return true;
    const reservedId = reservedWorker();
    if (candidate.id === reservedId) return true;
    const excluded = reservedId === undefined ? 0 : (candidates.get(reservedId)?.lookups ?? 0);
    const after = { ...candidate, used: addScaled(candidate.used, size) };
    return totalLookups - excluded - (countLookups(candidate) - countLookups(after)) >= headroom;
  };

  const selectShards = ({ onlyDataCentres }: Need) => {
    if (!onlyDataCentres?.length) return [fleetShard];
    return onlyDataCentres.flatMap((name) => shardByDataCentre.get(name) ?? []);
  };

  const search = (
    need: Need,
    { shouldAvoid, maxVisits }: { shouldAvoid: boolean; maxVisits: number },
  ) => {
    const found: SearchResult = { isComplete: true, isBlockedByHeadroom: false };
    const isLookup = need.kind === 'lookup';
    let bestCost = Infinity;
    let comparedCount = 0;
    selectShards(need).forEach((shard) => {
      let hasAccepted = false;
      const visit = (candidate: Candidate) => {
        if (!isAllowed(candidate, need, shouldAvoid)) return false;
        if (!isLookup && !leavesHeadroom(candidate, need.size)) {
          found.isBlockedByHeadroom = true;
          return false;
        }
        const cost = isLookup ? estimateDelayMs(candidate) : computeFitCost(candidate, need.size);
        hasAccepted = true;
        if (cost < bestCost) {
          bestCost = cost;
          found.best = candidate;
        }
        comparedCount += 1;
        return comparedCount % maxComparedCandidates === 0;
      };
      const query = { need, startFraction: nextStartFraction(), maxVisits };
      const isComplete = shard.search(query, { visit, hasAccepted: () => hasAccepted });
      found.isComplete = found.isComplete && isComplete;
    });
    return found;
  };

  const isFeasible = (need: Need) => {
    let hasFit = false;
    // The task could later run on a worker that the caller avoids now.
    const relaxedNeed = { ...need, avoidWorkers: [] };
    selectShards(need).forEach((shard) =>
      shard.searchTotalCapacity(need, (candidate) => {
        hasFit = hasFit || isAllowed(candidate, relaxedNeed, false);
        return hasFit;
      }),
    );
    return hasFit;
  };

  return {
    upsert(candidate) {
      const known = candidates.get(candidate.id)?.candidate;
      if (known && known.dataCentre !== candidate.dataCentre) {
        shardByDataCentre.get(known.dataCentre)?.remove(candidate.id);
      }
      deleteCandidate(candidate.id);
      const lookups = countLookups(candidate);
      candidates.set(candidate.id, { candidate, lookups });
      totalLookups += lookups;
      fleetShard.upsert(candidate);
      getDataCentreShard(candidate.dataCentre).upsert(candidate);
    },
    remove(worker) {
      const known = candidates.get(worker)?.candidate;
      if (!known) return;
      deleteCandidate(worker);
      fleetShard.remove(worker);
      shardByDataCentre.get(known.dataCentre)?.remove(worker);
    },
    get: (worker) => candidates.get(worker)?.candidate,
    size: () => candidates.size,
    choose(need) {
      const shouldAvoid =
        Boolean(need.avoidRacks?.length) || Boolean(need.avoidDataCentres?.length);
      let found = search(need, { shouldAvoid, maxVisits: maxVisitsPerTree });
      if (!found.best && !found.isComplete)
        found = search(need, { shouldAvoid, maxVisits: Infinity });
      const isRelaxed = !found.best && shouldAvoid;
      if (isRelaxed) found = search(need, { shouldAvoid: false, maxVisits: Infinity });
      if (found.best) {
        const { id } = found.best;
        return Right({ worker: id, reason: describeChoice(found.best, need, isRelaxed) });
      }
      const infeasible = !isFeasible(need);
      const largestFree = Array.from({ length: dimensionCount }, (_, d) =>
        selectShards(need).reduce((most, shard) => Math.max(most, shard.getLargestFree(d)), -1),
      );
      return Left({
        infeasible,
        reason: describeFailure(need, {
          isInfeasible: infeasible,
          isBlockedByHeadroom: found.isBlockedByHeadroom,
          largestFree,
        }),
      });
    },
  };
}
