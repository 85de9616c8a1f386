/**
 * Which further jobs cannot be served soon, so that they are refused at once.
 *
 * Load answered: more work than room for seconds. Where jobs that still could be in time wait for a
 * notable part of their objectiveMs, organisations that use more than their share of the fleet are
 * refused. An organisation at its upper limit is refused what would wait behind its own work until it
 * is late; work of queues that come later does not count, since it is served later.
 */
import { JobState } from '../model/mod.ts';
import type { AcceptedJob, Configuration } from '../model/mod.ts';
import { computeObjectiveMs, computeSlackMs } from './rank.ts';
import { getQueueTerms } from './pass.ts';
import { computeFairShares, getRemainingShare } from './shares.ts';
import type { CellState, Job } from './state.ts';

/** Work of one priority that waits for the upper limit of its organisation. */
export interface LimitWait {
  /** Priority of its queue; lower values are served first. */
  priority: number;
  /** Time that the processor which the limit grants needs for it, in milliseconds. */
  waitMs: number;
}

/** What is refused for now. */
export interface Pressure {
  /** Queues that have no room for what is beyond a share. */
  busyQueues: string[];
  /** Organisations that use more than their share. */
  beyondShare: string[];
  /** What waits for their upper limits, by organisation; only of those that have used them up. */
  limitWaits: Record<string, LimitWait[]>;
}

/** Nothing is refused. */
export const noPressure: Readonly<Pressure> = { busyQueues: [], beyondShare: [], limitWaits: {} };

/** A queue is busy when a job has waited for this part of its objectiveMs ... */
const busyWaitFraction = 0.35;
/** ... and at least this long. */
const minBusyWaitMs = 300;

/** Nothing is refused for want of room while less than this part of the fleet is in use. */
const fullUtilisation = 0.85;

/** A job that has waited for its whole objectiveMs no longer tells how long fresh ones wait. */
const staleWaitFraction = 1;

/** What the workers that answer have, run and hold; processor in thousandths of a core. */
export interface FleetLoad {
  workers: number;
  runs: number;
  cpu: number;
  cpuUsed: number;
  cpuHeld: number;
}

/** Adds up the load of the workers that answer. */
export function computeFleetLoad(state: CellState): FleetLoad {
  const load: FleetLoad = { workers: 0, runs: 0, cpu: 0, cpuUsed: 0, cpuHeld: 0 };
  state.workers.forEach(({ isAnswering, entry, runs, used, reserved }) => {
    if (!isAnswering) return;
    load.workers += 1;
    load.runs += runs.size;
    load.cpu += entry.capacity.cpu;
    load.cpuUsed += used.cpu;
    load.cpuHeld += reserved.cpu;
  });
  return load;
}

interface PendingJob {
  job: Job;
  priority: number;
  objectiveMs: number;
  waitedMs: number;
}

/** The jobs that have not begun and still can be in time. */
function listPendingJobs(state: CellState, { queues }: Configuration, nowMs: number): PendingJob[] {
  const byName = new Map(queues.map((queue) => [queue.name, queue]));
  const waiting: PendingJob[] = [];
  state.activeJobs.forEach((job) => {
    if (job.state !== JobState.Queued || job.accepted.spec.repetition) return;
    const terms = getQueueTerms(job, byName.get(job.accepted.queue));
    const objectiveMs = computeObjectiveMs(job, terms);
    const waitedMs = nowMs - job.acceptedAtMs;
    if (waitedMs >= objectiveMs * staleWaitFraction) return;
    waiting.push({ job, priority: terms.priority, objectiveMs, waitedMs });
  });
  return waiting;
}

/** Work that waits, by priority; thousandths of a core times milliseconds. */
function sumWorkByPriority(waiting: PendingJob[]): Map<number, number> {
  const work = new Map<number, number>();
  waiting.forEach(({ job: { millicoreMs }, priority }) => {
    work.set(priority, (work.get(priority) ?? 0) + millicoreMs);
  });
  return work;
}

/** The time that the work of the organisations at their upper limits needs, by priority. */
function computeLimitWaits(
  state: CellState,
  { organisations }: Configuration,
  waiting: PendingJob[],
): Record<string, LimitWait[]> {
  const limited = organisations.filter(({ name, upperLimit }) => {
    const used = state.usage.get(name)?.cpu ?? 0;
    return upperLimit.cpu > 0 && used >= upperLimit.cpu * fullUtilisation;
  });
  return Object.fromEntries(
    limited.map(({ name, upperLimit }) => {
      const own = waiting.filter(({ job }) => job.accepted.organisation === name);
      const waits = [...sumWorkByPriority(own)].map(([priority, work]) => ({
        priority,
        waitMs: work / upperLimit.cpu,
      }));
      return [name, waits];
    }),
  );
}

function findBusyQueues(waiting: PendingJob[], limited: Record<string, LimitWait[]>): string[] {
  const busy = new Set<string>();
  waiting.forEach(({ job: { accepted }, objectiveMs, waitedMs }) => {
    // What waits for the limit of its organisation says nothing about room.
    if (accepted.organisation in limited) return;
    if (waitedMs > Math.max(minBusyWaitMs, busyWaitFraction * objectiveMs))
      busy.add(accepted.queue);
  });
  return [...busy];
}

/**
 * Computes what is to be refused at present.
 *
 * @example
 * const { busyQueues } = computePressure(state, configuration, clock.now());
 */
export function computePressure(
  state: CellState,
  configuration: Configuration,
  nowMs: number,
): Pressure {
  const waiting = listPendingJobs(state, configuration, nowMs);
  const limited = computeLimitWaits(state, configuration, waiting);
  const { cpu, cpuUsed, cpuHeld } = computeFleetLoad(state);
  if (cpuUsed + cpuHeld < cpu * fullUtilisation) return { ...noPressure, limitWaits: limited };
  const shares = computeFairShares(state, configuration, state.workers.values());
  return {
    busyQueues: findBusyQueues(waiting, limited),
    beyondShare: configuration.organisations
      .map(({ name }) => name)
      .filter((name) => shares.has(name) && getRemainingShare(state, shares, name) <= 0),
    limitWaits: limited,
  };
}

/** Time that a further job of the organisation waits for its limit, behind what is served first. */
function computeLimitWaitMs(
  { limitWaits: waits }: Pressure,
  organisation: string,
  priority: number,
) {
  const before = (waits[organisation] ?? []).filter((wait) => wait.priority <= priority);
  return before.reduce((sum, { waitMs }) => sum + waitMs, 0);
}

/** Why a further job is refused. */
export const RefusalReason = {
  /** It would wait for its organisation's upper limit until it is late. */
  Limit: 'limit',
  /** Its queue is busy, and its organisation uses more than its share. */
  Share: 'share',
} as const;

/** One of the values of {@link RefusalReason}. */
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/**
 * Why a further job is refused; undefined when it is not.
 *
 * @example
 * getRefusalReason(pressure, job); // 'limit' while its organisation is at its limit with much work waiting
 */
export function getRefusalReason(pressure: Pressure, job: AcceptedJob): RefusalReason | undefined {
  const { queue, organisation, terms, spec } = job;
  if (spec.repetition || spec.steps.some(({ longRunning }) => longRunning)) return undefined;
  const waitMs = computeLimitWaitMs(pressure, organisation, terms.priority);
  if (waitMs > computeSlackMs(terms, spec.steps)) return RefusalReason.Limit;
  const isBusy = pressure.busyQueues.includes(queue);
  return isBusy && pressure.beyondShare.includes(organisation) ? RefusalReason.Share : undefined;
}
