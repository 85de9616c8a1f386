/**
 * Admission control: refuses new jobs at once when they could not be started soon.
 *
 * When jobs that could still be in time have waited for a considerable part of their objective, as in
 * an overload that lasts for seconds, organisations that use more than their share of the fleet are
 * refused. An organisation at its upper limit is refused jobs that would wait behind its own work until
 * they are late; work of queues with lower priority does not count, since it is served later.
 */
import { JobState } from '../model/mod.ts';
import type { AcceptedJob, Configuration } from '../model/mod.ts';
import { computeObjectiveMs, computeSlackMs } from './rank.ts';
import { getQueueTerms } from './pass.ts';
import { computeFairShares, getRemainingShare } from './shares.ts';
import type { CellState, Job } from './state.ts';

/** Pending work of one priority in an organisation that has reached its upper limit. */
export interface LimitWait {
  /** Priority of its queue; lower values are served first. */
  priority: number;
  /** Time that the work takes with the CPU that the limit grants, in milliseconds. */
  waitMs: number;
}

/** The overload that leads to refusals. */
export interface Pressure {
  /** Queues that refuse jobs of organisations beyond their share. */
  busyQueues: string[];
  /** Organisations that have used up their share. */
  beyondShare: string[];
  /** Pending work by organisation; only of organisations that have reached their upper limits. */
  limitWaits: Record<string, LimitWait[]>;
}

/** The pressure at which no job is refused. */
export const noPressure: Readonly<Pressure> = { busyQueues: [], beyondShare: [], limitWaits: {} };

/** A queue is busy when a job has waited for this fraction of its objective ... */
const busyFraction = 0.35;
/** ... and at least this long. */
const minBusyWaitMs = 300;

/** No job is refused for lack of capacity while less than this fraction of the fleet is in use. */
const fullUtilisation = 0.85;

/** A job that has waited for its whole objective does not indicate how long new jobs wait. */
const staleWaitFraction = 1;

/** Capacity and use of the responsive workers; CPU in millicores. */
export interface FleetLoad {
  workers: number;
  runs: number;
  cpu: number;
  cpuUsed: number;
  cpuHeld: number;
}

/** Adds up the load of the responsive workers. */
export function computeFleetLoad(state: CellState): FleetLoad {
  const load: FleetLoad = { workers: 0, runs: 0, cpu: 0, cpuUsed: 0, cpuHeld: 0 };
  state.workers.forEach(({ isResponsive, entry, runs, used, reserved }) => {
    if (!isResponsive) return;
    load.workers += 1;
    load.runs += runs.size;
    load.cpu += entry.capacity.cpu;
    load.cpuUsed += used.cpu;
    load.cpuHeld += reserved.cpu;
  });
  return load;
}

interface QueuedJob {
  job: Job;
  priority: number;
  objectiveMs: number;
  waitedMs: number;
}

/** Lists the queued jobs that can still be in time. */
function listQueuedJobs(state: CellState, { queues }: Configuration, nowMs: number): QueuedJob[] {
  const queuesByName = new Map(queues.map((queue) => [queue.name, queue]));
  const queuedJobs: QueuedJob[] = [];
  state.activeJobs.forEach((job) => {
    if (job.state !== JobState.Queued || job.accepted.spec.repetition) return;
    const terms = getQueueTerms(job, queuesByName.get(job.accepted.queue));
    const objectiveMs = computeObjectiveMs(job, terms);
    const waitedMs = nowMs - job.acceptedAtMs;
    if (waitedMs >= objectiveMs * staleWaitFraction) return;
    queuedJobs.push({ job, priority: terms.priority, objectiveMs, waitedMs });
  });
  return queuedJobs;
}

/** Adds up pending work by priority, in millicores times milliseconds. */
function sumWorkByPriority(queuedJobs: QueuedJob[]): Map<number, number> {
  const work = new Map<number, number>();
  queuedJobs.forEach(({ job: { millicoreMs }, priority }) => {
    work.set(priority, (work.get(priority) ?? 0) + millicoreMs);
  });
  return work;
}

/** Computes the time that pending work takes in the organisations at their upper limits. */
function computeLimitWaits(
  state: CellState,
  { organisations }: Configuration,
  queuedJobs: QueuedJob[],
): Record<string, LimitWait[]> {
  const limitedOrganisations = organisations.filter(({ name, upperLimit }) => {
    const used = state.usage.get(name)?.cpu ?? 0;
    return upperLimit.cpu > 0 && used >= upperLimit.cpu * fullUtilisation;
  });
  return Object.fromEntries(
    limitedOrganisations.map(({ name, upperLimit }) => {
      const ownJobs = queuedJobs.filter(({ job }) => job.accepted.organisation === name);
      const waits = [...sumWorkByPriority(ownJobs)].map(([priority, work]) => ({
        priority,
        waitMs: work / upperLimit.cpu,
      }));
      return [name, waits];
    }),
  );
}

function findBusyQueues(
  queuedJobs: QueuedJob[],
  limitWaits: Record<string, LimitWait[]>,
): string[] {
  const busy = new Set<string>();
  queuedJobs.forEach(({ job: { accepted }, objectiveMs, waitedMs }) => {
    // Jobs that wait for their organisation's limit do not indicate a lack of capacity.
    if (accepted.organisation in limitWaits) return;
    if (waitedMs > Math.max(minBusyWaitMs, busyFraction * objectiveMs)) busy.add(accepted.queue);
  });
  return [...busy];
}

/**
 * Computes the current pressure.
 *
 * @example
 * const { busyQueues } = computePressure(state, configuration, clock.now());
 */
export function computePressure(
  state: CellState,
  configuration: Configuration,
  nowMs: number,
): Pressure {
  const queuedJobs = listQueuedJobs(state, configuration, nowMs);
  const limitWaits = computeLimitWaits(state, configuration, queuedJobs);
  const { cpu, cpuUsed, cpuHeld } = computeFleetLoad(state);
  if (cpuUsed + cpuHeld < cpu * fullUtilisation) return { ...noPressure, limitWaits };
  const shares = computeFairShares(state, configuration, state.workers.values());
  return {
    busyQueues: findBusyQueues(queuedJobs, limitWaits),
    beyondShare: configuration.organisations
      .map(({ name }) => name)
      .filter((name) => shares.has(name) && getRemainingShare(state, shares, name) <= 0),
    limitWaits,
  };
}

/** Computes how long a new job waits for its organisation's limit, behind work served earlier. */
function computeLimitWaitMs(
  { limitWaits: waits }: Pressure,
  organisation: string,
  priority: number,
) {
  const earlier = (waits[organisation] ?? []).filter((wait) => wait.priority <= priority);
  return earlier.reduce((sum, { waitMs }) => sum + waitMs, 0);
}

/** Reasons to refuse a new job. */
export const RefusalReason = {
  /** It would wait for its organisation's upper limit until it is late. */
  Limit: 'limit',
  /** Its queue is busy, and its organisation has used up its share. */
  Share: 'share',
  /** No worker could run one of its tasks, or all of them together one of its gangs. */
  Capacity: 'capacity',
} as const;

/** One of the values of {@link RefusalReason}. */
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/**
 * Returns why a new job is refused; undefined if it is not.
 *
 * @example
 * getRefusalReason(pressure, job); // 'limit' if too much work already waits for its organisation's limit
 */
export function getRefusalReason(pressure: Pressure, job: AcceptedJob): RefusalReason | undefined {
  const { queue, organisation, terms, spec } = job;
  if (spec.repetition || spec.steps.some(({ longRunning }) => longRunning)) return undefined;
  const waitMs = computeLimitWaitMs(pressure, organisation, terms.priority);
  if (waitMs > computeSlackMs(terms, spec.steps)) return RefusalReason.Limit;
  const isBusy = pressure.busyQueues.includes(queue);
  return isBusy && pressure.beyondShare.includes(organisation) ? RefusalReason.Share : undefined;
}
