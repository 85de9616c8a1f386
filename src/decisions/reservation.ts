/**
 * The reservation for the oldest work that does not fit: which worker it waits for, which other
 * work may still start there, and what is stopped when the worker does not become free in time.
 */
import type { Size } from '../schema/mod.ts';
import { fits, addScaled } from './_size.ts';

/** A running task as a reservation sees it. */
export interface WorkerTask {
  task: string;
  size: Size;
  startedAt: number;
  /** When the task is expected to have ended, at a high quantile. */
  expectedEndAt: number;
  checkpoint: boolean;
  service: boolean;
}

/** A worker with its running tasks. */
export interface HeldWorker {
  id: string;
  capacity: Size;
  tasks: WorkerTask[];
}

/** Where the work will start, and when. */
export interface Reservation {
  worker: string;
  expectedAt: number;
  /**
   * Other work may start there only if it ends by this time. It never moves later while the worker
   * stays the same: backfill that put it off would let in more backfill without end.
   */
  backfillUntil: number;
  reason: string;
}

/**
 * Picks the worker that is expected to have room first. The former choice is kept unless another
 * one is expected to be free in half the time, because changing workers wastes what was kept free.
 *
 * @example
 * planReservation({ size, workers, now })?.worker;
 */
export function planReservation({
  size,
  workers,
  now,
  former,
}: {
  size: Size;
  workers: HeldWorker[];
  now: number;
  former?: Reservation;
}): Reservation | undefined {
  let bestPlan: Reservation | undefined;
  let keptPlan: Reservation | undefined;
  workers.forEach(({ id, capacity, tasks }) => {
    if (!fits(size, capacity)) return;
    let free = tasks.reduce((available, task) => addScaled(available, task.size, -1), capacity);
    let expectedAt = now;
    const tasksByEnd = [...tasks].sort((left, right) => left.expectedEndAt - right.expectedEndAt);
    for (let i = 0; i < tasksByEnd.length && !fits(size, free); i++) {
      const task = tasksByEnd[i];
      if (task) {
        free = addScaled(free, task.size);
        // A task past its expected end may run as long again as it has run.
        expectedAt =
          task.expectedEndAt > now ? task.expectedEndAt : now + (now - task.startedAt) / 2;
      }
    }
    const seconds = Math.round((expectedAt - now) / 1_000);
    const promisedUntil = id === former?.worker ? former.backfillUntil : Infinity;
    const plan = {
      worker: id,
      expectedAt,
      backfillUntil: Math.min(expectedAt, promisedUntil),
      reason: `room expected on ${id} in ${seconds} s`,
    };
    if (id === former?.worker) keptPlan = plan;
    if (!bestPlan || expectedAt < bestPlan.expectedAt) bestPlan = plan;
  });
  if (keptPlan && bestPlan && keptPlan.expectedAt - now <= 2 * (bestPlan.expectedAt - now))
    return keptPlan;
  return bestPlan;
}

/**
 * Says whether other work may start on a worker beside the reservation: on other workers always, on
 * the reserved one only if it is expected to end before the reserved work starts.
 *
 * @example
 * mayBackfill(reservation, { worker: 'w1', expectedEndAt });
 */
export function mayBackfill(
  reservation: Reservation | undefined,
  { worker, expectedEndAt }: { worker: string; expectedEndAt: number },
): boolean {
  if (reservation?.worker !== worker) return true;
  return expectedEndAt <= reservation.backfillUntil;
}

/** A task to stop so that reserved work keeps its bound. */
export interface Preemption {
  task: string;
  mode: 'checkpoint' | 'stop';
  reason: string;
}

/**
 * Picks the tasks to stop on the worker where that loses the least work. Services are never
 * stopped for it, and tasks without a checkpoint only after all with one.
 *
 * @example
 * planPreemption({ size, workers, now });
 */
export function planPreemption({
  size,
  workers,
  now,
}: {
  size: Size;
  workers: HeldWorker[];
  now: number;
}): Preemption[] {
  let bestPlan: Preemption[] = [];
  let bestLoss = Infinity;
  workers.forEach(({ capacity, tasks }) => {
    if (!fits(size, capacity)) return;
    let free = tasks.reduce((available, task) => addScaled(available, task.size, -1), capacity);
    let loss = 0;
    const computeLoss = (task: WorkerTask) =>
      (task.checkpoint ? 10_000 : now - task.startedAt + 60_000) * (1 + task.size.processors);
    const victims: Preemption[] = [];
    tasks
      .filter((task) => !task.service)
      .sort((left, right) => computeLoss(left) - computeLoss(right))
      .forEach((task) => {
        if (fits(size, free)) return;
        free = addScaled(free, task.size);
        loss += computeLoss(task);
        victims.push({
          task: task.task,
          mode: task.checkpoint ? 'checkpoint' : 'stop',
          reason: 'makes room for the oldest waiting work within its bound',
        });
      });
    if (!fits(size, free) || loss >= bestLoss) return;
    bestPlan = victims;
    bestLoss = loss;
  });
  return bestPlan;
}
