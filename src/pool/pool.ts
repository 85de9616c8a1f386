/**
 * Interface to the workers that this process owns: reservations, starts, stops and ended tasks.
 */
import type { Either } from 'purify-ts';

import type { Failure, Outcome } from '../errors/mod.ts';
import type { Ended, Need, Place, Size, StartAnswer } from '../schema/mod.ts';

/** Capacity on a worker and a unit of the team's limit, allocated for one task. */
export interface Reservation {
  id: string;
  place: Place;
  need: Need;
}

/** The task to start on a reservation. */
export interface Launch {
  task: string;
  attempt: number;
  job: string;
  idempotent: boolean;
  body: unknown;
}

/** A task on an owned worker, as the pool tracks it. */
export interface PooledTask {
  task: string;
  attempt: number;
  job: string;
  team: string;
  kind: Need['kind'];
  worker: string;
  size: Size;
  startedAt: number;
  /** Declared run time; absent for tasks that were found running on an acquired worker. */
  estimateMs?: number;
  state: 'starting' | 'running' | 'stopping';
}

/** The pool of owned workers. */
export interface Pool {
  /** Chooses a worker and reserves its capacity and a unit of the team's limit for one task. */
  reserve(need: Need): Either<Failure, Reservation>;
  /** Cancels an unused reservation. */
  cancel(reservation: Reservation): void;
  /** Starts the task. Freshness, data centre and epoch are checked directly before the send. */
  start(
    reservation: Reservation,
    launch: Launch,
    options?: { timeoutMs?: number; signal?: AbortSignal },
  ): Outcome<StartAnswer>;
  stop(task: string, mode: 'stop' | 'checkpoint' | 'throttle'): Outcome<void>;
  /**
   * Returns what is certain about an attempt. After a return of `absent` the pool rejects a start of
   * the attempt, so that a delayed request cannot run it later.
   */
  getAttemptState(
    task: string,
    attempt: number,
    worker: string,
  ): 'running' | 'ended' | 'absent' | 'unknown';
  tasks(): PooledTask[];
  /** Registers an observer of ended tasks. It is called again until a task is acknowledged. */
  onEnded(observer: (ended: Ended[]) => void): void;
  acknowledge(tasks: string[]): void;
  /** Registers an observer that is called when capacity or a unit of a limit may be free again. */
  onCapacityFreed(observer: () => void): void;
  /** Lists the reachable workers that are not leaving, with their tasks. */
  workers(): { id: string; capacity: Size; tasks: PooledTask[] }[];
  /** Cordons one worker, or none with undefined. The previously cordoned one accepts work again. */
  cordonWorker(worker: string | undefined): void;
  /** Returns the number of free slots on the reachable workers that are not leaving. */
  freeSlots(): number;
  /** Returns each team's units in use on a worker, and whether a start is not confirmed yet. */
  countUnits(worker: string): { units: Record<string, number>; starting: boolean };
  /** Returns the state for the state dump. */
  dump(): unknown;
  /** Stops renewals and timers. Running tasks keep the rest of their leases. */
  close(): void;
}
