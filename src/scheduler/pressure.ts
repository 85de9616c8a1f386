/**
 * Which further jobs cannot be served soon, so that they are refused at once.
 *
 * Load answered: more work than room for seconds. Where jobs of a queue wait for a notable part of
 * their objective, organisations that use more than their share of the fleet are refused.
 */
import type { Configuration } from '../model/mod.ts';
import { termsOf } from './decide.ts';
import { objectiveMs } from './order.ts';
import { fairShares, leftOfShare } from './shares.ts';
import type { CellState } from './state.ts';

/** What the entry processes refuse for now. */
export interface Pressure {
  /** Queues that have no room for what is beyond a share. */
  busyQueues: string[];
  /** Organisations that use more than their share. */
  beyondShare: string[];
}

/** A queue is busy when a job has waited for this part of its objective ... */
const busyPart = 0.35;
/** ... and at least this long. */
const busyWaitMs = 300;

/** Nothing is refused while less than this part of the fleet is in use. */
const fullPart = 0.85;

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
  const { cpu, cpuUsed, cpuHeld } = fleetLoad(state);
  if (cpuUsed + cpuHeld < cpu * fullPart) return { busyQueues: [], beyondShare: [] };
  const queues = new Map(configuration.queues.map((queue) => [queue.name, queue]));
  const busy = new Set<string>();
  state.active.forEach((job) => {
    const { queue } = job.accepted;
    if (job.state !== 'queued' || job.accepted.spec.repetition || busy.has(queue)) return;
    const limitMs = Math.max(
      busyWaitMs,
      busyPart * objectiveMs(job, termsOf(job, queues.get(queue))),
    );
    if (nowMs - job.acceptedAtMs > limitMs) busy.add(queue);
  });
  const shares = fairShares(state, configuration, state.workers.values());
  return {
    busyQueues: [...busy],
    beyondShare: configuration.organisations
      .map(({ name }) => name)
      .filter((name) => shares.has(name) && leftOfShare(state, shares, name) <= 0),
  };
}
