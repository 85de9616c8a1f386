/**
 * The placement index: workers in tournament trees by free room and by expected delay.
 *
 * A choice looks at the best level that has room and compares a few candidates there, so its cost
 * does not grow with the number of workers beyond the depth of a tree.
 */
import { Left, Right } from 'purify-ts';

import type { Need, Size } from '../schema/mod.ts';
import type { Candidate, PlacementIndex } from './placement.ts';
import { expectedDelay, fitCost } from './_placement_score.ts';
import { describeChoice, describeShortage } from './_placement_reason.ts';
import { makeShard } from './_shard.ts';
import type { Shard } from './_shard.ts';
import { copies, dimensions, plus } from './_size.ts';

const maxCandidates = 6;
// Visits after which a level is left for the next one; it is searched again only when all fail.
const visitsPerLevel = 96;

/** Size that an urgent lookup is taken to have when room is kept for it. */
export const defaultLookupSize: Size = {
  processors: 1,
  memoryMb: 512,
  accelerators: 0,
  slots: 1,
};

/** Behaviour that the owner of an index may set. */
export interface PlacementOptions {
  /** Draws the place where a search starts, so that equal workers get equal work. */
  random?: () => number;
  /** Places for lookups that heavy work must leave free on the indexed workers. */
  keptForLookups?: () => number;
  lookupSize?: Size;
  /**
   * The worker that is being emptied for the oldest work. Its room is not there for lookups, so it
   * does not count as kept, and the oldest work may take it.
   */
  reservedWorker?: () => string | undefined;
}

interface Search {
  best?: Candidate;
  complete: boolean;
  /** Some worker had room that is kept for lookups. */
  kept: boolean;
}

function isAllowed(candidate: Candidate, need: Need, avoid: boolean): boolean {
  if (need.avoidWorkers?.includes(candidate.id)) return false;
  if (need.onlyRacks?.length && !need.onlyRacks.includes(candidate.rack)) return false;
  if (need.onlyDataCentres?.length && !need.onlyDataCentres.includes(candidate.dataCentre)) {
    return false;
  }
  if (!avoid) return true;
  if (need.avoidRacks?.includes(candidate.rack)) return false;
  return !need.avoidDataCentres?.includes(candidate.dataCentre);
}

/**
 * Makes an empty index.
 *
 * `avoidWorkers` and the `only` lists of a need are kept in any case; `avoidRacks` and
 * `avoidDataCentres` are kept as long as another worker has room.
 *
 * @example
 * const index = makePlacementIndex({ keptForLookups: () => 4 });
 * index.upsert(candidate);
 * index.choose(need).map(({ worker }) => worker);
 */
export function makePlacementIndex(options: PlacementOptions = {}): PlacementIndex {
  const { random, keptForLookups = () => 0, lookupSize = defaultLookupSize } = options;
  const { reservedWorker = () => undefined } = options;
  const candidates = new Map<string, { candidate: Candidate; places: number }>();
  const all = makeShard();
  const byCentre = new Map<string, Shard>();
  let lookupPlaces = 0;
  let turn = 0;

  const centreShard = (name: string) => {
    const shard = byCentre.get(name) ?? makeShard();
    byCentre.set(name, shard);
    return shard;
  };

  const placesOf = ({ capacity, used, open, penalty }: Candidate) =>
    open && penalty < 1 ? copies(lookupSize, plus(capacity, used, -1)) : 0;

  const drop = (worker: string) => {
    const known = candidates.get(worker);
    if (!known) return;
    lookupPlaces -= known.places;
    candidates.delete(worker);
  };

  const nextStart = () => {
    if (random) return random();
    // Steps by the golden ratio spread consecutive starts evenly over the workers.
    turn = (turn + 0.618_033_988_75) % 1;
    return turn;
  };

  const keepsRoom = (candidate: Candidate, size: Size) => {
    const kept = keptForLookups();
    if (kept <= 0) return true;
    const reserved = reservedWorker();
    if (candidate.id === reserved) return true;
    const reservedPlaces = reserved === undefined ? 0 : (candidates.get(reserved)?.places ?? 0);
    const after = { ...candidate, used: plus(candidate.used, size) };
    return lookupPlaces - reservedPlaces - (placesOf(candidate) - placesOf(after)) >= kept;
  };

  const shardsFor = ({ onlyDataCentres }: Need) => {
    if (!onlyDataCentres?.length) return [all];
    return onlyDataCentres.flatMap((name) => byCentre.get(name) ?? []);
  };

  const search = (need: Need, { avoid, maxVisits }: { avoid: boolean; maxVisits: number }) => {
    const found: Search = { complete: true, kept: false };
    const lookup = need.kind === 'lookup';
    let bestCost = Infinity;
    let seen = 0;
    shardsFor(need).forEach((shard) => {
      let accepted = false;
      const visit = (candidate: Candidate) => {
        if (!isAllowed(candidate, need, avoid)) return false;
        if (!lookup && !keepsRoom(candidate, need.size)) {
          found.kept = true;
          return false;
        }
        const cost = lookup ? expectedDelay(candidate) : fitCost(candidate, need.size);
        accepted = true;
        if (cost < bestCost) {
          bestCost = cost;
          found.best = candidate;
        }
        seen += 1;
        return seen % maxCandidates === 0;
      };
      const query = { need, start: nextStart(), maxVisits };
      const complete = shard.search(query, { visit, accepted: () => accepted });
      found.complete = found.complete && complete;
    });
    return found;
  };

  const isFeasible = (need: Need) => {
    let feasible = false;
    // A worker that the caller avoids for now could still hold the task.
    const lasting = { ...need, avoidWorkers: [] };
    shardsFor(need).forEach((shard) =>
      shard.searchCapacity(need, (candidate) => {
        feasible = feasible || isAllowed(candidate, lasting, false);
        return feasible;
      }),
    );
    return feasible;
  };

  return {
    upsert(candidate) {
      const known = candidates.get(candidate.id)?.candidate;
      if (known && known.dataCentre !== candidate.dataCentre) {
        byCentre.get(known.dataCentre)?.remove(candidate.id);
      }
      drop(candidate.id);
      const places = placesOf(candidate);
      candidates.set(candidate.id, { candidate, places });
      lookupPlaces += places;
      all.upsert(candidate);
      centreShard(candidate.dataCentre).upsert(candidate);
    },
    remove(worker) {
      const known = candidates.get(worker)?.candidate;
      if (!known) return;
      drop(worker);
      all.remove(worker);
      byCentre.get(known.dataCentre)?.remove(worker);
    },
    get: (worker) => candidates.get(worker)?.candidate,
    size: () => candidates.size,
    choose(need) {
      const avoid = Boolean(need.avoidRacks?.length) || Boolean(need.avoidDataCentres?.length);
      let found = search(need, { avoid, maxVisits: visitsPerLevel });
      if (!found.best && !found.complete) found = search(need, { avoid, maxVisits: Infinity });
      const relaxed = !found.best && avoid;
      if (relaxed) found = search(need, { avoid: false, maxVisits: Infinity });
      if (found.best) {
        const { id } = found.best;
        return Right({ worker: id, reason: describeChoice(found.best, need, relaxed) });
      }
      const infeasible = !isFeasible(need);
      const largest = Array.from({ length: dimensions }, (_, d) =>
        shardsFor(need).reduce((most, shard) => Math.max(most, shard.largest(d)), -1),
      );
      return Left({
        infeasible,
        reason: describeShortage(need, { infeasible, kept: found.kept, largest }),
      });
    },
  };
}
