/**
 * The pool's own record of each owned worker, and what it receives from the rest of the process.
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

/** Collaborators of the pool. */
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

/** A task as the pool accounts it. */
export interface TrackedTask extends PooledTask {
  /** When the worker confirmed it, by this process's clock. */
  confirmedAt?: number;
  /** The start got no answer; it cannot begin after this time. */
  uncertainUntil?: number;
}

/** An owned worker. */
export interface WorkerRecord {
  upstream: Upstream;
  epoch: number;
  capacity: Size;
  used: Size;
  tasks: Map<string, TrackedTask>;
  reservations: Map<string, Reservation>;
  /** The worker's clock as last answered, and when the answer arrived. */
  workerClock: { ms: number; at: number };
  /** No task of the worker runs after this time unless a renewal or start is sent again. */
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

/** An ended task that waits for its acknowledgement. */
export interface UnacknowledgedTask {
  ended: Ended;
  notifiedAt: number;
}

/** Everything that the pool remembers. */
export interface PoolState {
  options: PoolOptions;
  records: Map<string, WorkerRecord>;
  ended: Map<string, UnacknowledgedTask>;
  /** Tasks that ended lately, with the attempt; a list asked before the end may still show them. */
  recentlyEnded: Map<string, { attempt: number; at: number }>;
  /** Attempts that were answered as absent and must not start any more. */
  blockedAttempts: Map<string, { attempt: number; at: number }>;
  endedObservers: ((ended: Ended[]) => void)[];
  capacityObservers: (() => void)[];
  nextReservationId: () => string;
  /** Worker that is kept free for waiting work. */
  cordonedWorker: string | undefined;
  closed: AbortController;
}

/** How long ended and barred attempts are remembered; delayed messages are far younger. */
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

/** Notes that the worker runs the task. */
export function confirmTask(tracked: TrackedTask, now: number): void {
  const { confirmedAt = now, state, kind, uncertainUntil } = tracked;
  Object.assign(tracked, {
    confirmedAt,
    // A lookup whose answer was lost is listed until it has ended, for nobody reports its end.
    uncertainUntil: kind === 'lookup' ? uncertainUntil : undefined,
    state: state === 'starting' ? 'running' : state,
  });
}
