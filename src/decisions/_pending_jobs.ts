/**
 * The waiting work of a process: teams in order of share, items of a team in order of age and
 * length, and one reservation for the oldest item that does not fit.
 */
import type { Trial, Usage, WaitingItem, WaitingWork } from './pending_jobs.ts';
import { Trial as Outcome } from './pending_jobs.ts';
import { makeSortedList } from './_sorted_list.ts';
import { makeFailedSizes } from './_failed_sizes.ts';

/** Settings of the waiting work. */
export interface PendingJobsOptions {
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

interface PendingEntry {
  job: WaitingItem;
  sortKey: number;
  lastOutcome?: Trial;
  wasBackfill: boolean;
}

interface ReservedJob {
  id: string;
  reservedAt: number;
  isReported: boolean;
}

const defaultStarvationBoundMs = 600_000;

/** Longest estimate that counts against an item; longer work is not put back further. */
const maxPenalisedEstimateMs = 1_800_000;

function computeWeightedShare(usage: Usage, team: string): number {
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
export function makeWaitingWork(options: PendingJobsOptions = {}): Required<WaitingWork> {
  const {
    starvationBoundMs = defaultStarvationBoundMs,
    lengthPenalty = 0,
    maxFailuresPerTeam = 4,
    maxFailures = 24,
    checkBound = () => undefined,
  } = options;
  const entries = new Map<string, PendingEntry>();
  const entriesByTeam = new Map<string, ReturnType<typeof makeSortedList<PendingEntry>>>();
  let reserved: ReservedJob | undefined;

  const getTeamList = (team: string) => {
    const list = entriesByTeam.get(team) ?? makeSortedList<PendingEntry>((entry) => entry.sortKey);
    entriesByTeam.set(team, list);
    return list;
  };

  const remove = (id: string) => {
    const entry = entries.get(id);
    if (!entry) return;
    const list = getTeamList(entry.job.team);
    list.remove(entry);
    if (list.size() === 0) entriesByTeam.delete(entry.job.team);
    entries.delete(id);
    if (reserved?.id === id) reserved = undefined;
  };

  const checkStarvationBound = (now: number) => {
    if (!reserved) return;
    const { id, reservedAt, isReported } = reserved;
    const waitedMs = now - reservedAt;
    const holds = waitedMs <= starvationBoundMs;
    if (holds || !isReported) {
      checkBound(holds, () => `item ${id} waited ${waitedMs} ms for its reserved room`);
    }
    reserved.isReported = !holds;
  };

  // The next item to get a reservation, among those that found no room in the round.
  const findOldestBlocked = (
    blocked: PendingEntry[],
    { now, usage }: { now: number; usage: Usage },
  ) => {
    let totalWeight = 0;
    entriesByTeam.forEach((_, team) => {
      totalWeight += usage.weight(team);
    });
    const mayReserve = ({ job }: PendingEntry) =>
      computeWeightedShare(usage, job.team) <= 1 / Math.max(1e-9, totalWeight) ||
      now - job.enqueuedAt > starvationBoundMs / 2;
    return blocked
      .filter(mayReserve)
      .reduce<PendingEntry | undefined>(
        (oldest, entry) =>
          oldest && oldest.job.enqueuedAt <= entry.job.enqueuedAt ? oldest : entry,
        undefined,
      );
  };

  const round: WaitingWork['round'] = ({ now, usage, place }) => {
    const placedJobs: WaitingItem[] = [];
    const blocked: PendingEntry[] = [];
    const failedSizes = makeFailedSizes();

    const tryPlace = (entry: PendingEntry, isBackfill: boolean) => {
      const target = entry;
      target.lastOutcome = place(target.job, { backfill: isBackfill });
      target.wasBackfill = isBackfill;
      if (target.lastOutcome === Outcome.Placed) {
        checkStarvationBound(now);
        placedJobs.push(target.job);
        remove(target.job.id);
      }
      return target.lastOutcome;
    };

    const reservedEntry = reserved && entries.get(reserved.id);
    if (reservedEntry) {
      checkStarvationBound(now);
      const outcome = tryPlace(reservedEntry, false);
      // A team at its limit must not keep room from others.
      if (outcome === Outcome.TeamHeld) reserved = undefined;
    }

    const teamCursors = new Map(
      [...entriesByTeam.keys()].map((team) => [team, { position: 0, failures: 0 }]),
    );
    const selectTeam = () => {
      let bestTeam: string | undefined;
      let bestShare = Infinity;
      teamCursors.forEach((_, team) => {
        const share = computeWeightedShare(usage, team);
        if (share < bestShare || bestTeam === undefined) {
          bestTeam = team;
          bestShare = share;
        }
      });
      return bestTeam;
    };

    const tryNextOfTeam = (team: string, state: { position: number; failures: number }) => {
      const cursor = state;
      const entry = entriesByTeam.get(team)?.at(cursor.position);
      if (!entry || cursor.failures >= maxFailuresPerTeam) return false;
      const isReserved = entry.job.id === reserved?.id;
      if (isReserved || failedSizes.isExpectedToFail(entry.job)) {
        cursor.position += 1;
        return true;
      }
      const outcome = tryPlace(entry, reserved !== undefined);
      if (outcome === Outcome.TeamHeld) return false;
      if (outcome === Outcome.NoRoom) {
        cursor.position += 1;
        cursor.failures += 1;
        blocked.push(entry);
        failedSizes.add(entry.job);
      }
      return true;
    };

    for (
      let team = selectTeam();
      team !== undefined && blocked.length < maxFailures;
      team = selectTeam()
    ) {
      const state = teamCursors.get(team);
      if (!state || !tryNextOfTeam(team, state)) teamCursors.delete(team);
    }

    if (!reserved) {
      const oldestBlocked = findOldestBlocked(blocked, { now, usage });
      if (oldestBlocked)
        reserved = { id: oldestBlocked.job.id, reservedAt: now, isReported: false };
    }
    return placedJobs;
  };

  return {
    add(job) {
      remove(job.id);
      const penaltyMs = Math.min(job.need.estimateMs, maxPenalisedEstimateMs) * lengthPenalty;
      const entry = { job, sortKey: job.enqueuedAt + penaltyMs, wasBackfill: false };
      entries.set(job.id, entry);
      getTeamList(job.team).insert(entry);
    },
    remove,
    get: (id) => entries.get(id)?.job,
    size: (team) => (team === undefined ? entries.size : (entriesByTeam.get(team)?.size() ?? 0)),
    round,
    reserved: () => reserved?.id,
    explain(id, now) {
      const entry = entries.get(id);
      if (!entry) return undefined;
      const waitedText = `waited ${Math.round((now - entry.job.enqueuedAt) / 1_000)} s`;
      if (reserved?.id === id) return `${waitedText}: room is being reserved for it`;
      if (entry.lastOutcome === Outcome.TeamHeld)
        return `${waitedText}: its team may start nothing more now`;
      if (entry.lastOutcome === Outcome.NoRoom) {
        return entry.wasBackfill
          ? `${waitedText}: no room that is not reserved for older work`
          : `${waitedText}: no worker has room`;
      }
      const precedingCount = getTeamList(entry.job.team).indexOf(entry);
      return `${waitedText}: ${precedingCount} items of its team are before it`;
    },
  };
}
