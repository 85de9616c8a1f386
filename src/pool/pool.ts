/**
 * The workers that this process owns: room, reservations, starts and ended tasks.
 */
import type { Either } from 'purify-ts';

import type { Failure, Outcome } from '../errors/mod.ts';
import type { Ended, Need, Place, Size, StartAnswer } from '../schema/mod.ts';

/** Room on a worker, and a unit of the team's limit, taken for one task. */
export interface Reservation {
  id: string;
  place: Place;
  need: Need;
}

/** The task that a reservation is used for. */
export interface Launch {
  task: string;
  attempt: number;
  job: string;
  idempotent: boolean;
  body: unknown;
}

/** A task on an owned worker, as accounted. */
export interface PooledTask {
  task: string;
  attempt: number;
  job: string;
  team: string;
  kind: Need['kind'];
  worker: string;
  size: Size;
  startedAt: number;
  /** Declared run time; absent for tasks that were found on an acquired worker. */
  estimateMs?: number;
  state: 'starting' | 'running' | 'stopping';
}

/** The owned workers. */
export interface Pool {
  /** Chooses a worker and takes its room and a unit of the team's limit, or says why not. */
  reserve(need: Need): Either<Failure, Reservation>;
  /** Returns an unused reservation. */
  cancel(reservation: Reservation): void;
  /** Starts the task; the last check of freshness, data centre and epoch is directly before the send. */
  start(
    reservation: Reservation,
    launch: Launch,
    options?: { timeoutMs?: number; signal?: AbortSignal },
  ): Outcome<StartAnswer>;
  stop(task: string, mode: 'stop' | 'checkpoint' | 'throttle'): Outcome<void>;
  /**
   * What is certain about an attempt. After the answer `absent` a start of this attempt is refused,
   * so that a delayed request cannot run it later.
   */
  attempt(
    task: string,
    attempt: number,
    worker: string,
  ): 'running' | 'ended' | 'absent' | 'unknown';
  tasks(): PooledTask[];
  /** Ended tasks wait here until acknowledged; the observer is called again for those that are not. */
  onEnded(observer: (ended: Ended[]) => void): void;
  acknowledge(tasks: string[]): void;
  /** Calls the observer when room or a unit of a team's limit may have become free. */
  onRoom(observer: () => void): void;
  /** Workers that accept work, with their tasks. */
  workers(): { id: string; capacity: Size; tasks: PooledTask[] }[];
  /** Closes one worker for all new work, until called again; the owner of the call may open it. */
  keepFree(worker: string | undefined): void;
  /** Free slots on the workers that accept work. */
  freeSlots(): number;
  /** Units of each team in use on a worker, and whether the outcome of a start is open. */
  use(worker: string): { units: Record<string, number>; starting: boolean };
  /** State for the state dump. */
  dump(): unknown;
  /** Ends renewals and timers; running tasks keep the rest of their leases. */
  close(): void;
}
