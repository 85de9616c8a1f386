/**
 * The waiting work of a process: teams in order of share, items of a team in order of age and
 * length, and one reservation for the oldest item that does not fit.
 */
import type { Trial, Usage, WaitingItem, WaitingWork } from './pending_jobs.ts';
import { Trial as Outcome } from './pending_jobs.ts';
import { makeSortedList } from './_sorted_list.ts';
import { makeFailedSizes } from './_failed_sizes.ts';

/** Settings of the waiting work. */
export interface WaitingOptions {
  /** Longest time that the reserved item may wait for room. */
  starvationBoundMs?: number;
  /** How much later an item is tried per millisecond of its estimated run time. */
  lengthPenalty?: number;
  /** Items of one team that may fail in one round before the next team is tried. */
  maxFailuresPerTeam?: number;
  /** Items that may fail in one round in all; bounds the cost of a round in overload. */
  maxFailures?: number;
  /** Told whether a reserved item kept the bound; the process asserts `starvation` here. */
  checkBound?: (holds: boolean, detail: () => string) => void;
}

interface Waiting {
  item: WaitingItem;
  key: number;
  last?: Trial;
  backfilled: boolean;
}

interface Reserved {
  id: string;
  since: number;
  reported: boolean;
}

const tenMinutesMs = 600_000;

/** Longest estimate that counts against an item; longer work is not put back further. */
const maxPenalisedMs = 1_800_000;

function normalisedShare(usage: Usage, team: string): number {
  return usage.dominantShare(team) / Math.max(1e-9, usage.weight(team));
}

/**
 * Makes an empty set of waiting work.
 *
 * A round first tries the reserved item, then always the next item of the team whose dominant share
 * is smallest for its weight. While an item is reserved, all others are tried as backfill. The item
 * that becomes reserved is the oldest that found no room, of a team within its share; items of teams
 * beyond their share follow once they have waited for half the bound.
 *
 * @example
 * const waiting = makeWaitingWork({ starvationBoundMs: 600_000 });
 * waiting.add(item);
 * waiting.round({ now, usage, place: () => Trial.Placed });
 */
export function makeWaitingWork(options: WaitingOptions = {}): Required<WaitingWork> {
  const {
    starvationBoundMs = tenMinutesMs,
    lengthPenalty = 0,
    maxFailuresPerTeam = 4,
    maxFailures = 24,
    checkBound = () => undefined,
  } = options;
  const items = new Map<string, Waiting>();
  const teams = new Map<string, ReturnType<typeof makeSortedList<Waiting>>>();
  let reserved: Reserved | undefined;

  const teamList = (team: string) => {
    const list = teams.get(team) ?? makeSortedList<Waiting>((waiting) => waiting.key);
    teams.set(team, list);
    return list;
  };

  const remove = (id: string) => {
    const waiting = items.get(id);
    if (!waiting) return;
    const list = teamList(waiting.item.team);
    list.remove(waiting);
    if (list.size() === 0) teams.delete(waiting.item.team);
    items.delete(id);
    if (reserved?.id === id) reserved = undefined;
  };

  const report = (now: number) => {
    if (!reserved) return;
    const { id, since, reported } = reserved;
    const waited = now - since;
    const holds = waited <= starvationBoundMs;
    if (holds || !reported) {
      checkBound(holds, () => `item ${id} waited ${waited} ms for its reserved room`);
    }
    reserved.reported = !holds;
  };

  // The next item to get a reservation, among those that found no room in the round.
  const nextReserved = (blocked: Waiting[], { now, usage }: { now: number; usage: Usage }) => {
    let totalWeight = 0;
    teams.forEach((_, team) => {
      totalWeight += usage.weight(team);
    });
    const withinShare = ({ item }: Waiting) =>
      normalisedShare(usage, item.team) <= 1 / Math.max(1e-9, totalWeight) ||
      now - item.enqueuedAt > starvationBoundMs / 2;
    return blocked
      .filter(withinShare)
      .reduce<Waiting | undefined>(
        (oldest, waiting) =>
          oldest && oldest.item.enqueuedAt <= waiting.item.enqueuedAt ? oldest : waiting,
        undefined,
      );
  };

  const round: WaitingWork['round'] = ({ now, usage, place }) => {
    const placed: WaitingItem[] = [];
    const blocked: Waiting[] = [];
    const failed = makeFailedSizes();

    const attempt = (waiting: Waiting, backfill: boolean) => {
      const entry = waiting;
      entry.last = place(entry.item, { backfill });
      entry.backfilled = backfill;
      if (entry.last === Outcome.Placed) {
        report(now);
        placed.push(entry.item);
        remove(entry.item.id);
      }
      return entry.last;
    };

    const first = reserved && items.get(reserved.id);
    if (first) {
      report(now);
      const outcome = attempt(first, false);
      // A team at its limit must not keep room from others.
      if (outcome === Outcome.TeamHeld) reserved = undefined;
    }

    const open = new Map([...teams.keys()].map((team) => [team, { position: 0, failures: 0 }]));
    const nextTeam = () => {
      let best: string | undefined;
      let bestShare = Infinity;
      open.forEach((_, team) => {
        const share = normalisedShare(usage, team);
        if (share < bestShare || best === undefined) {
          best = team;
          bestShare = share;
        }
      });
      return best;
    };

    const tryNext = (team: string, state: { position: number; failures: number }) => {
      const cursor = state;
      const waiting = teams.get(team)?.at(cursor.position);
      if (!waiting || cursor.failures >= maxFailuresPerTeam) return false;
      const holdsReservation = waiting.item.id === reserved?.id;
      if (holdsReservation || failed.covers(waiting.item)) {
        cursor.position += 1;
        return true;
      }
      const outcome = attempt(waiting, reserved !== undefined);
      if (outcome === Outcome.TeamHeld) return false;
      if (outcome === Outcome.NoRoom) {
        cursor.position += 1;
        cursor.failures += 1;
        blocked.push(waiting);
        failed.add(waiting.item);
      }
      return true;
    };

    for (
      let team = nextTeam();
      team !== undefined && blocked.length < maxFailures;
      team = nextTeam()
    ) {
      const state = open.get(team);
      if (!state || !tryNext(team, state)) open.delete(team);
    }

    if (!reserved) {
      const next = nextReserved(blocked, { now, usage });
      if (next) reserved = { id: next.item.id, since: now, reported: false };
    }
    return placed;
  };

  return {
    add(item) {
      remove(item.id);
      const penalty = Math.min(item.need.estimateMs, maxPenalisedMs) * lengthPenalty;
      const waiting = { item, key: item.enqueuedAt + penalty, backfilled: false };
      items.set(item.id, waiting);
      teamList(item.team).insert(waiting);
    },
    remove,
    get: (id) => items.get(id)?.item,
    size: (team) => (team === undefined ? items.size : (teams.get(team)?.size() ?? 0)),
    round,
    reserved: () => reserved?.id,
    explain(id, now) {
      const waiting = items.get(id);
      if (!waiting) return undefined;
      const waited = `waited ${Math.round((now - waiting.item.enqueuedAt) / 1_000)} s`;
      if (reserved?.id === id) return `${waited}: room is being reserved for it`;
      if (waiting.last === Outcome.TeamHeld)
        return `${waited}: its team may start nothing more now`;
      if (waiting.last === Outcome.NoRoom) {
        return waiting.backfilled
          ? `${waited}: no room that is not reserved for older work`
          : `${waited}: no worker has room`;
      }
      const ahead = teamList(waiting.item.team).indexOf(waiting);
      return `${waited}: ${ahead} items of its team are before it`;
    },
  };
}
