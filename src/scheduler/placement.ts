/**
 * Choice of workers for the tasks of a step, as pure functions over the scheduler's view of the workers.
 *
 * Best-effort tasks, which fill idle capacity, interfere with latency-sensitive tasks on the same worker.
 * They are placed only on workers without latency-sensitive tasks, and latency-sensitive tasks avoid
 * workers with best-effort tasks while others have capacity.
 *
 * Single tasks go to the workers with the least free capacity, which leaves large free blocks for
 * gangs; gangs go to the workers that fit most members, if possible within one rack where the step
 * prefers that.
 */
import { countFittingCopies, fits } from '../model/mod.ts';
import { getTaskAllocation } from './resource_accounting.ts';
import { canServe } from './servable.ts';
import type { Step, Worker } from './state.ts';

/** Conditions under which workers accept new tasks. */
export interface PlacementConditions {
  nowMs: number;
  /** Data centres out of service. */
  evacuated: ReadonlySet<string>;
}

/** Returns the rack of a worker, which is the last of its labels. */
function getRack({ entry }: Worker): string | undefined {
  return entry.labels.at(-1);
}

/** Whether a worker accepts new tasks now. */
export function isSchedulable(worker: Worker, { nowMs, evacuated }: PlacementConditions): boolean {
  const { entry } = worker;
  return (
    worker.isSynced &&
    worker.isResponsive &&
    worker.isRegistered &&
    !entry.isDraining &&
    nowMs >= worker.backoffUntilMs &&
    !evacuated.has(entry.dataCentre)
  );
}

/** Whether a worker belongs to the service and has the label that the step requires. */
export function isEligible(worker: Worker, step: Step, service: string): boolean {
  return canServe(worker.entry, step.spec, service);
}

function countTasksOn(step: Step, workerId: string): number {
  const runs = step.tasks.flatMap((task) => task.runs);
  return runs.filter((run) => run.workerId === workerId).length;
}

/** Whether tasks of the step serve users within a bound on tail latency. */
function isLatencySensitive({ spec }: Step): boolean {
  return spec.longRunning && spec.targetLatencyMs > 0;
}

function runsAnyMatching(worker: Worker, predicate: (step: Step) => boolean): boolean {
  return [...worker.runs.values()].some(({ step }) => predicate(step));
}

/** Whether tasks of the step and the runs of the worker do not interfere with each other. */
function canShareWorker(step: Step, worker: Worker): boolean {
  if (step.spec.fillsIdleCapacity) return !runsAnyMatching(worker, isLatencySensitive);
  if (!isLatencySensitive(step)) return true;
  return !runsAnyMatching(worker, ({ spec }) => spec.fillsIdleCapacity);
}

/** Returns the workers on which tasks of the step may start as far as interference is concerned. */
export function filterCompatibleWorkers(step: Step, workers: Worker[]): Worker[] {
  if (!step.spec.fillsIdleCapacity && !isLatencySensitive(step)) return workers;
  const compatible = workers.filter((worker) => canShareWorker(step, worker));
  // Latency-sensitive tasks do not wait in order to avoid best-effort tasks.
  const mayShare = isLatencySensitive(step) && !hasCapacity(step, compatible);
  return mayShare ? workers : compatible;
}

/** Whether a worker has capacity for a task of the step, or all of them together for its gang. */
export function hasCapacity(step: Step, workers: Worker[]): boolean {
  const need = getTaskAllocation(step);
  if (!step.spec.gang) return workers.some(({ free }) => fits(need, free));
  let fittingTasks = 0;
  return workers.some(({ free }) => {
    fittingTasks += countFittingCopies(need, free);
    return fittingTasks >= step.spec.count;
  });
}

/** Counts how many further tasks of the step a worker can take now. */
export function countFittingTasks(step: Step, worker: Worker): number {
  const { maxPerWorker } = step.spec;
  const byCapacity = countFittingCopies(getTaskAllocation(step), worker.free);
  if (maxPerWorker === 0) return byCapacity;
  return Math.min(byCapacity, maxPerWorker - countTasksOn(step, worker.entry.id));
}

function isPreferred(step: Step, worker: Worker): boolean {
  const { preferredRack } = step.spec;
  return preferredRack === undefined || worker.entry.labels.includes(preferredRack);
}

interface Candidate {
  worker: Worker;
  /** Number of tasks that the worker can take. */
  count: number;
}

/** Finds the workers that can take tasks of the step now. */
function findCandidates(step: Step, workers: Worker[]): Candidate[] {
  return workers
    .map((worker) => ({ worker, count: countFittingTasks(step, worker) }))
    .filter(({ count }) => count > 0);
}

/** Assigns tasks to the candidates in order until the wanted number is reached. */
function assignTasks(candidates: Candidate[], wantedTasks: number): Map<Worker, number> {
  const counts = new Map<Worker, number>();
  let remaining = wantedTasks;
  for (const { worker, count } of candidates) {
    if (remaining === 0) break;
    const assigned = Math.min(remaining, count);
    counts.set(worker, assigned);
    remaining -= assigned;
  }
  return counts;
}

/**
 * Chooses workers for up to `wantedTasks` single tasks; returns the number of tasks by worker.
 *
 * @example
 * const counts = chooseWorkers(step, workers, 3);
 */
export function chooseWorkers(
  step: Step,
  workers: Worker[],
  wantedTasks: number,
): Map<Worker, number> {
  const candidates = findCandidates(step, workers).sort(
    ({ worker: a }, { worker: b }) =>
      Number(isPreferred(step, b)) - Number(isPreferred(step, a)) || a.free.cpu - b.free.cpu,
  );
  return assignTasks(candidates, wantedTasks);
}

function fitGang(step: Step, workers: Worker[]): Map<Worker, number> | undefined {
  const candidates = findCandidates(step, workers).sort((a, b) => b.count - a.count);
  const total = candidates.reduce((sum, { count }) => sum + count, 0);
  return total >= step.spec.count ? assignTasks(candidates, step.spec.count) : undefined;
}

/**
 * Chooses workers for a whole gang; undefined if there is no capacity for all members.
 *
 * @example
 * const counts = chooseGangWorkers(step, workers);
 */
export function chooseGangWorkers(step: Step, workers: Worker[]): Map<Worker, number> | undefined {
  if (!step.spec.rackLocal && step.spec.preferredRack === undefined) return fitGang(step, workers);
  const racks = new Map<string, Worker[]>();
  workers.forEach((worker) => {
    const rack = getRack(worker) ?? '';
    racks.set(rack, [...(racks.get(rack) ?? []), worker]);
  });
  const { preferredRack } = step.spec;
  const preferredFirst = [...racks].sort(
    ([a], [b]) => Number(b === preferredRack) - Number(a === preferredRack),
  );
  for (const [, rackWorkers] of preferredFirst) {
    const counts = fitGang(step, rackWorkers);
    if (counts) return counts;
  }
  return fitGang(step, workers);
}
