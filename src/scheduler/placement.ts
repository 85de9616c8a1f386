/**
 * Choice of workers for the tasks of a step. Pure functions over the beliefs about the workers.
 *
 * Single tasks go where they leave the least room, so that wide free rooms are left for gangs; gangs
 * go to the workers that take most members, within one rack where the step asks for it.
 */
import { add, copiesThatFit, fits, noResources, subtract, times } from '../model/mod.ts';
import type { Resources } from '../model/mod.ts';
import { needOf } from './rooms.ts';
import type { Step, Worker } from './state.ts';

/** Which workers may take new work. */
export interface Conditions {
  nowMs: number;
  /** Data centres out of service. */
  evacuated: ReadonlySet<string>;
}

/** Label that names a rack: the last of a worker's labels. */
function rackOf({ entry }: Worker): string | undefined {
  return entry.labels.at(-1);
}

/** Whether a worker takes new work now. */
export function isUsable(worker: Worker, { nowMs, evacuated }: Conditions): boolean {
  const { entry } = worker;
  return (
    worker.isSettled &&
    worker.isAnswering &&
    worker.isRegistered &&
    !entry.draining &&
    nowMs >= worker.avoidUntilMs &&
    !evacuated.has(entry.dataCentre)
  );
}

/** Whether a worker is of a kind that may run the step. */
export function isEligible(worker: Worker, step: Step, service: string): boolean {
  const { requirement } = step.spec;
  if (worker.entry.service !== service) return false;
  return requirement === undefined || worker.entry.labels.includes(requirement);
}

function tasksOnWorker(step: Step, workerId: string): number {
  const runs = step.tasks.flatMap((task) => task.runs);
  return runs.filter((run) => run.workerId === workerId).length;
}

/** Whether some worker has room for a task of the step, or together they have it for a gang. */
export function hasRoom(step: Step, workers: Worker[]): boolean {
  const need = needOf(step);
  if (!step.spec.gang) return workers.some(({ free }) => fits(need, free));
  let places = 0;
  return workers.some(({ free }) => {
    places += copiesThatFit(need, free);
    return places >= step.spec.count;
  });
}

/** How many tasks of the step a worker can take now. */
export function placesOn(step: Step, worker: Worker, taken = 0): number {
  const need = needOf(step);
  const room = taken === 0 ? worker.free : subtract(worker.free, times(need, taken));
  const { maxPerWorker } = step.spec;
  const byRoom = copiesThatFit(need, room);
  if (maxPerWorker === 0) return byRoom;
  return Math.min(byRoom, maxPerWorker - tasksOnWorker(step, worker.entry.id) - taken);
}

function isPreferred(step: Step, worker: Worker): boolean {
  const { preferredRack } = step.spec;
  return preferredRack === undefined || worker.entry.labels.includes(preferredRack);
}

/** Processor that would be left on a worker. */
function slack(worker: Worker, need: Resources): number {
  return worker.free.cpu - need.cpu;
}

/**
 * Chooses workers for up to so many single tasks; the result counts tasks by worker.
 *
 * @example
 * const counts = spread(step, workers, 3);
 */
export function chooseWorkers(step: Step, workers: Worker[], wanted: number): Map<Worker, number> {
  const need = needOf(step);
  const counts = new Map<Worker, number>();
  const sorted = workers
    .filter((worker) => placesOn(step, worker) > 0)
    .sort(
      (a, b) =>
        Number(isPreferred(step, b)) - Number(isPreferred(step, a)) ||
        slack(a, need) - slack(b, need),
    );
  let left = wanted;
  for (const worker of sorted) {
    if (left === 0) break;
    const count = Math.min(left, placesOn(step, worker));
    counts.set(worker, count);
    left -= count;
  }
  return counts;
}

function fillGang(step: Step, workers: Worker[]): Map<Worker, number> | undefined {
  const places = workers
    .map((worker) => ({ worker, count: placesOn(step, worker) }))
    .filter(({ count }) => count > 0)
    .sort((a, b) => b.count - a.count);
  const counts = new Map<Worker, number>();
  let left = step.spec.count;
  for (const { worker, count } of places) {
    if (left === 0) break;
    counts.set(worker, Math.min(left, count));
    left -= Math.min(left, count);
  }
  return left === 0 ? counts : undefined;
}

/**
 * Chooses workers for a whole gang; undefined when there is no room for all members.
 *
 * @example
 * const counts = chooseForGang(step, workers);
 */
export function chooseForGang(step: Step, workers: Worker[]): Map<Worker, number> | undefined {
  if (!step.spec.rackLocal && step.spec.preferredRack === undefined) return fillGang(step, workers);
  const racks = new Map<string, Worker[]>();
  workers.forEach((worker) => {
    const rack = rackOf(worker) ?? '';
    racks.set(rack, [...(racks.get(rack) ?? []), worker]);
  });
  const { preferredRack } = step.spec;
  const ordered = [...racks].sort(
    ([a], [b]) => Number(b === preferredRack) - Number(a === preferredRack),
  );
  for (const [, members] of ordered) {
    const counts = fillGang(step, members);
    if (counts) return counts;
  }
  return fillGang(step, workers);
}

/** How many further tasks of the step its organisation may have running. */
export function placesWithinLimit(
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
  if (!fits(add(used, need), limit)) return 0;
  return copiesThatFit(need, subtract(limit, used));
}
