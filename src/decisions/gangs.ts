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
import { copies, plus } from './_size.ts';
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
export interface GangPlace {
  worker: string;
  count: number;
}

/** Places for the whole gang. */
export interface GangPlan {
  places: GangPlace[];
  reason: string;
}

interface Room {
  candidate: Candidate;
  copies: number;
}

function groupRooms(rooms: Room[], keyOf: (candidate: Candidate) => string): Map<string, Room[]> {
  const groups = new Map<string, Room[]>();
  rooms.forEach((room) => {
    const key = keyOf(room.candidate);
    groups.set(key, [...(groups.get(key) ?? []), room]);
  });
  return groups;
}

function sum(rooms: Room[]): number {
  return rooms.reduce((total, room) => total + room.copies, 0);
}

const keys = {
  fleet: () => 'fleet',
  'data-centre': ({ dataCentre }: Candidate) => dataCentre,
  rack: ({ dataCentre, rack }: Candidate) => `${dataCentre}/${rack}`,
};

function pack(rooms: Room[], count: number): GangPlace[] {
  // One worker that holds the rest exactly beats the one with most room.
  const places: GangPlace[] = [];
  let left = count;
  const open = [...rooms].sort((a, b) => b.copies - a.copies);
  while (left > 0 && open.length > 0) {
    const wanted = left;
    const exact = open.findLastIndex((room) => room.copies >= wanted);
    const [room] = open.splice(Math.max(0, exact), 1);
    if (room) {
      const taken = Math.min(left, room.copies);
      places.push({ worker: room.candidate.id, count: taken });
      left -= taken;
    }
  }
  return places;
}

function spreadOver(rooms: Room[], count: number, by: 'rack' | 'data-centre'): GangPlace[] {
  const domains = [...groupRooms(rooms, keys[by]).values()]
    .map((members) => [...members].sort((a, b) => b.copies - a.copies))
    .sort((a, b) => sum(b) - sum(a));
  const taken = new Map<string, number>();
  let left = count;
  let progress = true;
  while (left > 0 && progress) {
    progress = false;
    for (let i = 0; i < domains.length && left > 0; i++) {
      const room = domains[i]?.find(
        ({ candidate, copies: most }) => (taken.get(candidate.id) ?? 0) < most,
      );
      if (room) {
        taken.set(room.candidate.id, (taken.get(room.candidate.id) ?? 0) + 1);
        left -= 1;
        progress = true;
      }
    }
  }
  return [...taken].map(([worker, number]) => ({ worker, count: number }));
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
  const rooms: Room[] = [];
  [...candidates].forEach((candidate) => {
    if (!candidate.open || candidate.penalty >= 1) return;
    if (onlyDataCentres?.length && !onlyDataCentres.includes(candidate.dataCentre)) return;
    const held = copies(size, plus(candidate.capacity, candidate.used, -1));
    if (held > 0) rooms.push({ candidate, copies: Math.min(held, count) });
  });
  const order: (keyof typeof keys)[] =
    spread === 'none' ? ['rack', 'data-centre', 'fleet'] : ['data-centre', 'fleet'];
  const allowed = order.slice(0, order.indexOf(across) + 1);
  const levels = allowed.length > 0 ? allowed : [across];
  // A gang spread over data centres starts with the widest set, all others with the tightest.
  if (spread === 'data-centre') levels.reverse();
  const groupsOf = (level: keyof typeof keys) => [...groupRooms(rooms, keys[level])];
  const chosen = levels
    .flatMap((level) => {
      const holding = groupsOf(level).filter(([, members]) => sum(members) >= count);
      const tightest = holding.sort(([, a], [, b]) => sum(a) - sum(b))[0];
      return tightest ? [{ level, name: tightest[0], members: tightest[1] }] : [];
    })
    .at(0);
  if (chosen) {
    const { level, name, members } = chosen;
    const places = spread === 'none' ? pack(members, count) : spreadOver(members, count, spread);
    return Right({ places, reason: `all ${count} tasks fit in ${level} ${name}` });
  }
  const most = Math.max(0, ...groupsOf(across).map(([, members]) => sum(members)));
  return Left(`only ${most} of ${count} tasks fit within one ${across}`);
}

/**
 * Order in which owners are asked for holds, so that two gangs ask in the same order.
 *
 * @example
 * holdOrder(plan.places, (worker) => ownerOf(worker));
 */
export function holdOrder(
  places: GangPlace[],
  ownerOf: (worker: string) => string,
): { owner: string; places: GangPlace[] }[] {
  const byOwner = new Map<string, GangPlace[]>();
  places.forEach((place) => {
    const owner = ownerOf(place.worker);
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
