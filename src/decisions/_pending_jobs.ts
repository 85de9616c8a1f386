/**
 * The pending jobs of a process: teams ordered by share, the jobs of a team by age and length, and
 * one reservation for the oldest job that does not fit.
 */
import type { PlacementOutcome, TeamUsage, PendingJob, PendingJobs } from './pending_jobs.ts';
import { PlacementOutcome as Outcome } from './pending_jobs.ts';
import { makeSortedList } from './_sorted_list.ts';
import { makeFailedSizes } from './_failed_sizes.ts';

/** Options of the pending jobs. */
export interface PendingJobsOptions {
  /** Longest time that the job with the reservation may wait for capacity. */
  starvationBoundMs?: number;
  /** Delay in the order of jobs per millisecond of estimated run time. */
  lengthPenalty?: number;
  /** Failed placements of one team after which the team is skipped for the round. */
  maxFailuresPerTeam?: number;
  /** Failed placements after which a round ends, which bounds its cost in overload. */
  maxFailures?: number;
  /** Called with whether the reserved job kept its bound, to check the `starvation` invariant. */
  checkBound?: (holds: boolean, detail: () => string) => void;
}

interface PendingEntry {
  job: PendingJob;
  sortKey: number;
  lastOutcome?: PlacementOutcome;
  wasBackfill: boolean;
}

interface ReservedJob {
  id: string;
  reservedAt: number;
  isReported: boolean;
}

const defaultStarvationBoundMs = 600_000;

/** Largest estimate that delays a job; longer jobs are delayed no further. */
const maxPenalisedEstimateMs = 1_800_000;

function computeWeightedShare(usage: TeamUsage, team: string): number {
  return usage.dominantShare(team) / Math.max(1e-9, usage.weight(team));
}

/**
 * Makes an empty set of pending jobs.
 *
 * A round first tries the job with the reservation, then repeatedly the next job of the team with
 * the smallest dominant share per weight. While a reservation exists, all other jobs are tried as
 * backfill. The reservation goes to the oldest job that did not fit and whose team is within its
 * share; jobs of other teams qualify once they have waited for half the bound.
 *
 * @example
 * const waiting = makePendingJobs({ starvationBoundMs: 600_000 });
 * waiting.add(job);
 * waiting.runRound({ now, usage, place: () => PlacementOutcome.Placed });
 */
export function makePendingJobs(options: PendingJobsOptions = {}): Required<PendingJobs> {
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
      checkBound(holds, () => `job ${id} waited ${waitedMs} ms for its reserved capacity`);
    }
    reserved.isReported = !holds;
  };

  // Selects the job to get the reservation among those that did not fit in the round.
  const findOldestBlocked = (
    blocked: PendingEntry[],
    { now, usage }: { now: number; usage: TeamUsage },
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

  const round: PendingJobs['runRound'] = ({ now, usage, place }) => {
    const placedJobs: PendingJob[] = [];
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
      // A team at its limit must not keep capacity from other teams.
      if (outcome === Outcome.TeamAtLimit) reserved = undefined;
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
      if (outcome === Outcome.TeamAtLimit) return false;
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
      const chosen = findOldestBlocked(blocked, { now, usage });
      if (chosen) reserved = { id: chosen.job.id, reservedAt: now, isReported: false };
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
    runRound: round,
    reserved: () => reserved?.id,
    explain(id, now) {
      const entry = entries.get(id);
      if (!entry) return undefined;
      const waitedText = `waited ${Math.round((now - entry.job.enqueuedAt) / 1_000)} s`;
      if (reserved?.id === id) return `${waitedText}: room is being reserved for it`;
      if (entry.lastOutcome === Outcome.TeamAtLimit)
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
