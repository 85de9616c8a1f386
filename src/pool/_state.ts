/**
 * State of the pool, its record of each owned worker, and its dependencies.
 */
import type { Clock, Random } from '../clock/mod.ts';
import type { PlacementIndex } from '../decisions/mod.ts';
import type { InvariantChecker } from '../invariants/mod.ts';
import type { Limits } from '../limits/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Membership } from '../membership/mod.ts';
import type { Metrics } from '../metrics/mod.ts';
import type { Ownership } from '../ownership/mod.ts';
import type { Ended, Size, Upstream } from '../schema/mod.ts';
import type { Settings } from '../settings/mod.ts';
import type { Workers } from '../workers/mod.ts';
import type { PooledTask, Reservation } from './pool.ts';

/** Dependencies of the pool. */
export interface PoolOptions {
  clock: Clock;
  random: Random;
  workers: Workers;
  placement: PlacementIndex;
  limits: Limits;
  invariants: InvariantChecker;
  membership: Pick<Membership, 'freshUntil'>;
  settings: Pick<Settings, 'current' | 'subscribe'>;
  ownership: Pick<Ownership, 'subscribe' | 'lost'>;
  log: Logger;
  metrics: Metrics;
  /** Called with the outcome of each attempt, for quarantine. */
  onAttempt?: (outcome: {
    worker: string;
    job: string;
    ok: boolean;
    runMs: number;
    kind: string;
  }) => void;
  /** Quarantine level of a worker. */
  penalty?: (worker: string) => number;
}

/** A task that the pool tracks. */
export interface TrackedTask extends PooledTask {
  /** When the worker confirmed the task, by this process's clock. */
  confirmedAt?: number;
  /** The start got no response, and cannot take effect after this time. */
  uncertainUntil?: number;
}

/** The pool's record of an owned worker. */
export interface WorkerRecord {
  upstream: Upstream;
  epoch: number;
  capacity: Size;
  used: Size;
  tasks: Map<string, TrackedTask>;
  reservations: Map<string, Reservation>;
  /** The worker's clock in its last response, and when the response arrived. */
  workerClock: { ms: number; at: number };
  /** No task of the worker runs after this time unless another renewal or start is sent. */
  leaseUntil: number;
  reachable: boolean;
  leaving: boolean;
  outstanding: number;
  latencyMs: number;
  acknowledged: Set<string>;
  lastListAt: number;
  isResolving: boolean;
  closed: AbortController;
}

/** An ended task that has not been acknowledged yet. */
export interface UnacknowledgedTask {
  ended: Ended;
  notifiedAt: number;
}

/** State of the pool. */
export interface PoolState {
  options: PoolOptions;
  records: Map<string, WorkerRecord>;
  ended: Map<string, UnacknowledgedTask>;
  /** Recently ended attempts by task; a list requested before the end may still contain them. */
  recentlyEnded: Map<string, { attempt: number; at: number }>;
  /** Attempts by task that were reported as absent and must not start any more. */
  blockedAttempts: Map<string, { attempt: number; at: number }>;
  endedObservers: ((ended: Ended[]) => void)[];
  capacityObservers: (() => void)[];
  nextReservationId: () => string;
  /** Worker that accepts no new work, so that its capacity is kept for waiting work. */
  cordonedWorker: string | undefined;
  closed: AbortController;
}

/** How long ended and blocked attempts are kept; messages are never delayed nearly as long. */
export const attemptRetentionMs = 120_000;

export function getLeaseMs(state: PoolState): number {
  return state.options.settings.current().policy.leaseMs;
}

export function findTask(state: PoolState, task: string): [WorkerRecord, TrackedTask] | undefined {
  for (const record of state.records.values()) {
    const tracked = record.tasks.get(task);
    if (tracked) return [record, tracked];
  }
  return undefined;
}

/** Records that the worker runs the task. */
export function confirmTask(tracked: TrackedTask, now: number): void {
  const { confirmedAt = now, state, kind, uncertainUntil } = tracked;
  Object.assign(tracked, {
    confirmedAt,
    // Nobody reports the end of a lookup whose response was lost, so its start stays uncertain and
    // the worker's tasks are listed until it has ended.
    uncertainUntil: kind === 'lookup' ? uncertainUntil : undefined,
    state: state === 'starting' ? 'running' : state,
  });
}
