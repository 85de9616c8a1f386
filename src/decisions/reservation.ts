/**
 * The reservation for the oldest pending job that does not fit: the worker it waits for, the
 * backfill allowed there, and the tasks to stop when the worker does not become free in time.
 */
import type { Size } from '../schema/mod.ts';
import { fits, addScaled } from './_size.ts';

/** A running task on a worker that may be reserved. */
export interface WorkerTask {
  task: string;
  size: Size;
  startedAt: number;
  /** Expected end of the task, at a high quantile. */
  expectedEndAt: number;
  checkpoint: boolean;
  service: boolean;
}

/** A worker with its running tasks. */
export interface WorkerLoad {
  id: string;
  capacity: Size;
  tasks: WorkerTask[];
}

/** The worker on which the job will start, and when. */
export interface Reservation {
  worker: string;
  expectedAt: number;
  /**
   * Other work may start there only if it ends by this time. It is never moved later for the same
   * worker; otherwise backfill that delays the job would allow ever more backfill.
   */
  backfillUntil: number;
  reason: string;
}

/**
 * Selects the worker that is expected to have enough free capacity first. The former choice is kept
 * unless another worker is expected to take less than half the time, because a change wastes the
 * capacity that was kept free.
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
  workers: WorkerLoad[];
  now: number;
  former?: Reservation;
}): Reservation | undefined {
  let best: Reservation | undefined;
  let renewed: Reservation | undefined;
  workers.forEach(({ id, capacity, tasks }) => {
    if (!fits(size, capacity)) return;
    let free = tasks.reduce((available, task) => addScaled(available, task.size, -1), capacity);
    let expectedAt = now;
    const tasksByEnd = [...tasks].sort((left, right) => left.expectedEndAt - right.expectedEndAt);
    for (let i = 0; i < tasksByEnd.length && !fits(size, free); i++) {
      const task = tasksByEnd[i];
      if (task) {
        free = addScaled(free, task.size);
        // A task past its expected end is assumed to run on for half of its run time so far.
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
    if (id === former?.worker) renewed = plan;
    if (!best || expectedAt < best.expectedAt) best = plan;
  });
  if (renewed && best && renewed.expectedAt - now <= 2 * (best.expectedAt - now)) return renewed;
  return best;
}

/**
 * Returns whether other work may start on a worker despite the reservation: always on other
 * workers, on the reserved worker only if it is expected to end before the reserved job starts.
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

/** A task to stop so that the job with the reservation starts within its bound. */
export interface Preemption {
  task: string;
  mode: 'checkpoint' | 'stop';
  reason: string;
}

/**
 * Selects the tasks to stop, on the worker where this loses the least work. It never selects
 * services, and prefers tasks with a checkpoint.
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
  workers: WorkerLoad[];
  now: number;
}): Preemption[] {
  let best: Preemption[] = [];
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
          reason: 'frees capacity for the oldest pending job within its starvation bound',
        });
      });
    if (!fits(size, free) || loss >= bestLoss) return;
    best = victims;
    bestLoss = loss;
  });
  return best;
}
