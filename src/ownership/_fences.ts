/**
 * Sends fence requests and keeps the fenced workers that are not settled yet. Their leases are
 * renewed here, so that their tasks keep running while the table service is unreachable.
 */
import type { Clock } from '../clock/mod.ts';
import { ErrorKind } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { RunningTask, Upstream, WorkerState } from '../schema/mod.ts';
import type { Workers } from '../workers/mod.ts';

/** A worker that has accepted the epoch of its row. */
export interface FencedWorker {
  upstream: Upstream;
  epoch: number;
  state: WorkerState;
  fencedAt: number;
  renewedAt: number;
}

/** The fence requests of one process. */
export interface Fencer {
  /** Sends a fence request unless one is in flight or the back-off after a failure lasts. */
  request(upstream: Upstream, options: { owner: string; epoch: number }): void;
  listFenced(): FencedWorker[];
  /** Stops keeping a fenced worker. */
  remove(worker: string): void;
  /** Time of the first failed fence request since the last successful one. */
  failingSince(worker: string): number | undefined;
  /** Renews the leases of the fenced workers that are due. */
  renew(leaseMs: number): Promise<void>;
  /** Discards everything, including the results of requests in flight. */
  reset(): void;
}

const minRetryDelayMs = 1_000;
const maxRetryDelayMs = 8_000;
const renewalIntervalMs = 10_000;
const renewalArrivalMs = 2_000;

function mergeTasks(tasks: RunningTask[], changed: RunningTask[]): RunningTask[] {
  const byId = new Map(tasks.map((task) => [task.task, task]));
  changed.forEach((task) => byId.set(task.task, task));
  return [...byId.values()];
}

/**
 * Creates the fencer of a process.
 *
 * @example
 * const fencer = makeFencer({ workers, clock, onStaleEpoch: (worker) => staleKeys.add(worker) });
 */
export function makeFencer({
  workers,
  clock,
  onStaleEpoch,
}: {
  workers: Workers;
  clock: Clock;
  /** Called when the worker has seen a higher epoch, so that its row must be read again. */
  onStaleEpoch: (worker: string) => void;
}): Fencer {
  const pending = new Set<string>();
  const fencedById = new Map<string, FencedWorker>();
  const failures = new Map<string, { since: number; retryAt: number; count: number }>();
  let generation = 0;

  const recordFailure = (worker: string) => {
    const now = clock.now();
    const { since = now, count = 0 } = failures.get(worker) ?? {};
    const delayMs = Math.min(maxRetryDelayMs, minRetryDelayMs * 2 ** count);
    failures.set(worker, { since, count: Math.min(count + 1, 8), retryAt: now + delayMs });
  };

  const send = async (upstream: Upstream, options: { owner: string; epoch: number }) => {
    const startGeneration = generation;
    const outcome: Awaited<Outcome<WorkerState>> = await workers.fence(upstream, options);
    if (startGeneration !== generation) return;
    pending.delete(upstream.id);
    if (outcome.isRight()) {
      failures.delete(upstream.id);
      const state = outcome.unsafeCoerce();
      const { epoch } = options;
      const now = clock.now();
      fencedById.set(upstream.id, { upstream, epoch, state, fencedAt: now, renewedAt: now });
      return;
    }
    recordFailure(upstream.id);
    if ((outcome.extract() as Failure).kind === ErrorKind.EpochStale) onStaleEpoch(upstream.id);
  };

  return {
    request(upstream, options) {
      const { id } = upstream;
      if (pending.has(id) || fencedById.get(id)?.epoch === options.epoch) return;
      if (clock.now() < (failures.get(id)?.retryAt ?? -Infinity)) return;
      pending.add(id);
      send(upstream, options).catch(() => pending.delete(id));
    },
    listFenced: () => [...fencedById.values()],
    remove: (worker) => {
      fencedById.delete(worker);
    },
    failingSince: (worker) => failures.get(worker)?.since,
    async renew(leaseMs) {
      const due = [...fencedById.values()].filter(
        ({ renewedAt }) => clock.now() - renewedAt >= renewalIntervalMs,
      );
      await Promise.all(
        due.map(async (fenced) => {
          const { upstream, epoch, state, fencedAt } = fenced;
          // The worker rejects a renewal that arrives later than this, because the pool may already
          // count the lease as expired. The factor covers clock rates that differ by up to 1%.
          const elapsedMs = Math.max(0, clock.now() - fencedAt) * 0.99;
          const notAfterMs = Math.floor(state.clockMs + elapsedMs) + renewalArrivalMs;
          const renewal = await workers.renew(upstream, { epoch, leaseMs, notAfterMs });
          if (fencedById.get(upstream.id) !== fenced) return;
          renewal.ifRight(({ changed }) => {
            const tasks = mergeTasks(state.tasks, changed);
            fencedById.set(upstream.id, {
              ...fenced,
              state: { ...state, tasks },
              renewedAt: clock.now(),
            });
          });
        }),
      );
    },
    reset() {
      generation += 1;
      pending.clear();
      fencedById.clear();
      failures.clear();
    },
  };
}
