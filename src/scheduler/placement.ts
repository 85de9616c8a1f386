/**
 * Choice of workers for the tasks of a step. Pure functions over the beliefs about the workers.
 *
 * Tasks that fill idle capacity disturb tasks that serve users beside them, so they only go to workers
 * without such tasks, and serving tasks go to workers without filling ones while there are any.
 *
 * Single tasks go where they leave the least room, so that wide free rooms are left for gangs; gangs
 * go to the workers that take most members, within one rack where the step asks for it.
 */
import {
  addResources,
  countFittingCopies,
  fits,
  noResources,
  subtractResources,
} from '../model/mod.ts';
import type { Resources } from '../model/mod.ts';
import { getTaskAllocation } from './resource_accounting.ts';
import type { Step, Worker } from './state.ts';

/** Which workers may take new work. */
export interface PlacementConditions {
  nowMs: number;
  /** Data centres out of service. */
  evacuated: ReadonlySet<string>;
}

/** Label that names a rack: the last of a worker's labels. */
function getRack({ entry }: Worker): string | undefined {
  return entry.labels.at(-1);
}

/** Whether a worker takes new work now. */
export function isSchedulable(worker: Worker, { nowMs, evacuated }: PlacementConditions): boolean {
  const { entry } = worker;
  return (
    worker.isSynced &&
    worker.isAnswering &&
    worker.isRegistered &&
    !entry.draining &&
    nowMs >= worker.backoffUntilMs &&
    !evacuated.has(entry.dataCentre)
  );
}

/** Whether a worker is of a kind that may run the step. */
export function isEligible(worker: Worker, step: Step, service: string): boolean {
  const { requirement } = step.spec;
  if (worker.entry.service !== service) return false;
  return requirement === undefined || worker.entry.labels.includes(requirement);
}

function countTasksOn(step: Step, workerId: string): number {
  const runs = step.tasks.flatMap((task) => task.runs);
  return runs.filter((run) => run.workerId === workerId).length;
}

/** Whether a task serves users within a bound on its tail latency. */
function isLatencySensitive({ spec }: Step): boolean {
  return spec.longRunning && spec.targetLatencyMs > 0;
}

function runsAnyMatching(worker: Worker, isKind: (step: Step) => boolean): boolean {
  return [...worker.runs.values()].some(({ step }) => isKind(step));
}

/** Whether tasks of the step and what the worker runs leave each other undisturbed. */
function canShareWorker(step: Step, worker: Worker): boolean {
  if (step.spec.fillsIdleCapacity) return !runsAnyMatching(worker, isLatencySensitive);
  if (!isLatencySensitive(step)) return true;
  return !runsAnyMatching(worker, ({ spec }) => spec.fillsIdleCapacity);
}

/** The workers on which tasks of the step may start, as far as disturbance goes. */
export function filterCompatibleWorkers(step: Step, workers: Worker[]): Worker[] {
  if (!step.spec.fillsIdleCapacity && !isLatencySensitive(step)) return workers;
  const undisturbed = workers.filter((worker) => canShareWorker(step, worker));
  // Serving tasks are not kept waiting for the sake of filling ones.
  const mayShare = isLatencySensitive(step) && !hasCapacity(step, undisturbed);
  return mayShare ? workers : undisturbed;
}

/** Whether some worker has room for a task of the step, or together they have it for a gang. */
export function hasCapacity(step: Step, workers: Worker[]): boolean {
  const need = getTaskAllocation(step);
  if (!step.spec.gang) return workers.some(({ free }) => fits(need, free));
  let places = 0;
  return workers.some(({ free }) => {
    places += countFittingCopies(need, free);
    return places >= step.spec.count;
  });
}

/** How many tasks of the step a worker can take now. */
export function countFittingTasks(step: Step, worker: Worker): number {
  const { maxPerWorker } = step.spec;
  const byRoom = countFittingCopies(getTaskAllocation(step), worker.free);
  if (maxPerWorker === 0) return byRoom;
  return Math.min(byRoom, maxPerWorker - countTasksOn(step, worker.entry.id));
}

function isPreferred(step: Step, worker: Worker): boolean {
  const { preferredRack } = step.spec;
  return preferredRack === undefined || worker.entry.labels.includes(preferredRack);
}

interface Candidate {
  worker: Worker;
  count: number;
}

/** The workers that can take tasks of the step now, and how many. */
function findCandidates(step: Step, workers: Worker[]): Candidate[] {
  return workers
    .map((worker) => ({ worker, count: countFittingTasks(step, worker) }))
    .filter(({ count }) => count > 0);
}

/** Takes places in their order until there are as many as wanted. */
function assignTasks(places: Candidate[], wanted: number): Map<Worker, number> {
  const counts = new Map<Worker, number>();
  let left = wanted;
  for (const { worker, count } of places) {
    if (left === 0) break;
    const taken = Math.min(left, count);
    counts.set(worker, taken);
    left -= taken;
  }
  return counts;
}

/**
 * Chooses workers for up to so many single tasks; the result counts tasks by worker.
 *
 * @example
 * const counts = chooseWorkers(step, workers, 3);
 */
export function chooseWorkers(step: Step, workers: Worker[], wanted: number): Map<Worker, number> {
  const places = findCandidates(step, workers).sort(
    ({ worker: a }, { worker: b }) =>
      Number(isPreferred(step, b)) - Number(isPreferred(step, a)) || a.free.cpu - b.free.cpu,
  );
  return assignTasks(places, wanted);
}

function fitGang(step: Step, workers: Worker[]): Map<Worker, number> | undefined {
  const places = findCandidates(step, workers).sort((a, b) => b.count - a.count);
  const total = places.reduce((sum, { count }) => sum + count, 0);
  return total >= step.spec.count ? assignTasks(places, step.spec.count) : undefined;
}

/**
 * Chooses workers for a whole gang; undefined when there is no room for all members.
 *
 * @example
 * const counts = chooseForGang(step, workers);
 */
export function chooseGangWorkers(step: Step, workers: Worker[]): Map<Worker, number> | undefined {
  if (!step.spec.rackLocal && step.spec.preferredRack === undefined) return fitGang(step, workers);
  const racks = new Map<string, Worker[]>();
  workers.forEach((worker) => {
    const rack = getRack(worker) ?? '';
    racks.set(rack, [...(racks.get(rack) ?? []), worker]);
  });
  const { preferredRack } = step.spec;
  const ordered = [...racks].sort(
    ([a], [b]) => Number(b === preferredRack) - Number(a === preferredRack),
  );
  for (const [, members] of ordered) {
    const counts = fitGang(step, members);
    if (counts) return counts;
  }
  return fitGang(step, workers);
}

/** How many further tasks of the step its organisation may have running. */
export function countTasksWithinLimit(
  step: Step,
  usage: Resources | undefined,
  upperLimit: Resources | undefined,
): number {
  if (!upperLimit) return Infinity;
  const bounded = (limit: number) => (limit === 0 ? Infinity : limit);
  const limit = {
    cpu: bounded(upperLimit.cpu),
    memoryMb: bounded(upperLimit.memoryMb),
    gpu: bounded(upperLimit.gpu),
  };
  const { need } = step.spec;
  const used = usage ?? noResources;
  if (!fits(addResources(used, need), limit)) return 0;
  return countFittingCopies(need, subtractResources(limit, used));
}
