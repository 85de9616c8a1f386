/**
 * Which further jobs cannot be served soon, so that they are refused at once.
 *
 * Load answered: more work than room for seconds. Where jobs that still could be in time wait for a
 * notable part of their objective, organisations that use more than their share of the fleet are
 * refused. An organisation at its upper limit is refused what would wait behind its own work until it
 * is late.
 */
import { JobState } from '../model/mod.ts';
import type { AcceptedJob, Configuration } from '../model/mod.ts';
import { objectiveMs, slackMs } from './order.ts';
import { termsOf } from './pass.ts';
import { fairShares, leftOfShare } from './shares.ts';
import type { CellState, Job } from './state.ts';

/** What is refused for now. */
export interface Pressure {
  /** Queues that have no room for what is beyond a share. */
  busyQueues: string[];
  /** Organisations that use more than their share. */
  beyondShare: string[];
  /** Time that work waits for the upper limit of its organisation, in milliseconds; 0 left out. */
  limitWaitMs: Record<string, number>;
}

/** Nothing is refused. */
export const noPressure: Readonly<Pressure> = { busyQueues: [], beyondShare: [], limitWaitMs: {} };

/** A queue is busy when a job has waited for this part of its objective ... */
const busyPart = 0.35;
/** ... and at least this long. */
const busyWaitMs = 300;

/** Nothing is refused for want of room while less than this part of the fleet is in use. */
const fullPart = 0.85;

/** A job that has waited for its whole objective no longer tells how long fresh ones wait. */
const stalePart = 1;

/** What the workers that answer have, run and hold; processor in thousandths of a core. */
export interface FleetLoad {
  workers: number;
  runs: number;
  cpu: number;
  cpuUsed: number;
  cpuHeld: number;
}

/** Adds up the load of the workers that answer. */
export function fleetLoad(state: CellState): FleetLoad {
  const load: FleetLoad = { workers: 0, runs: 0, cpu: 0, cpuUsed: 0, cpuHeld: 0 };
  state.workers.forEach(({ isAnswering, entry, runs, used, held }) => {
    if (!isAnswering) return;
    load.workers += 1;
    load.runs += runs.size;
    load.cpu += entry.capacity.cpu;
    load.cpuUsed += used.cpu;
    load.cpuHeld += held.cpu;
  });
  return load;
}

interface WaitingJob {
  job: Job;
  objective: number;
  waitedMs: number;
}

/** The jobs that have not begun and still can be in time. */
function waitingJobs(state: CellState, { queues }: Configuration, nowMs: number): WaitingJob[] {
  const byName = new Map(queues.map((queue) => [queue.name, queue]));
  const waiting: WaitingJob[] = [];
  state.active.forEach((job) => {
    if (job.state !== JobState.Queued || job.accepted.spec.repetition) return;
    const objective = objectiveMs(job, termsOf(job, byName.get(job.accepted.queue)));
    const waitedMs = nowMs - job.acceptedAtMs;
    if (waitedMs < objective * stalePart) waiting.push({ job, objective, waitedMs });
  });
  return waiting;
}

/** Time until the processor that an organisation's limit grants has done the work that waits. */
function limitWaits(
  state: CellState,
  { organisations }: Configuration,
  waiting: WaitingJob[],
): Record<string, number> {
  const workMs = new Map<string, number>();
  waiting.forEach(({ job: { accepted, cpuMs } }) => {
    workMs.set(accepted.organisation, (workMs.get(accepted.organisation) ?? 0) + cpuMs);
  });
  const limited = organisations.filter(({ name, upperLimit }) => {
    const used = state.usage.get(name)?.cpu ?? 0;
    return upperLimit.cpu > 0 && used >= upperLimit.cpu * fullPart;
  });
  return Object.fromEntries(
    limited.map(({ name, upperLimit }) => [name, (workMs.get(name) ?? 0) / upperLimit.cpu]),
  );
}

function busyQueues(waiting: WaitingJob[], limitWaitMs: Record<string, number>): string[] {
  const busy = new Set<string>();
  waiting.forEach(({ job: { accepted }, objective, waitedMs }) => {
    // What waits for the limit of its organisation says nothing about room.
    if (accepted.organisation in limitWaitMs) return;
    if (waitedMs > Math.max(busyWaitMs, busyPart * objective)) busy.add(accepted.queue);
  });
  return [...busy];
}

/**
 * Computes what is to be refused at present.
 *
 * @example
 * const { busyQueues } = pressureOf(state, configuration, clock.now());
 */
export function pressureOf(
  state: CellState,
  configuration: Configuration,
  nowMs: number,
): Pressure {
  const waiting = waitingJobs(state, configuration, nowMs);
  const limitWaitMs = limitWaits(state, configuration, waiting);
  const { cpu, cpuUsed, cpuHeld } = fleetLoad(state);
  if (cpuUsed + cpuHeld < cpu * fullPart) return { ...noPressure, limitWaitMs };
  const shares = fairShares(state, configuration, state.workers.values());
  return {
    busyQueues: busyQueues(waiting, limitWaitMs),
    beyondShare: configuration.organisations
      .map(({ name }) => name)
      .filter((name) => shares.has(name) && leftOfShare(state, shares, name) <= 0),
    limitWaitMs,
  };
}

/**
 * Whether a further job is refused.
 *
 * @example
 * isRefused(pressure, job); // true while its organisation is at its limit with much work waiting
 */
export function isRefused(pressure: Pressure, job: AcceptedJob): boolean {
  const { queue, organisation, terms, spec } = job;
  if (spec.repetition || spec.steps.some(({ longRunning }) => longRunning)) return false;
  if ((pressure.limitWaitMs[organisation] ?? 0) > slackMs(terms, spec.steps)) return true;
  return pressure.busyQueues.includes(queue) && pressure.beyondShare.includes(organisation);
}
