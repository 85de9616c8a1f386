/**
 * Reconciles the pool's record of a worker with the tasks that the worker reports.
 */
import { Invariant } from '../invariants/mod.ts';
import type { Ended, RunningTask, WorkerState } from '../schema/mod.ts';
import { fits, minimum, zeroSize } from './_size.ts';
import { allocateCapacity, endTask, reportEnded, updatePlacement } from './_capacity.ts';
import { confirmTask, getLeaseMs } from './_state.ts';
import type { PoolState, TrackedTask, WorkerRecord } from './_state.ts';

const endedStates: Record<string, 'finished' | 'failed' | 'stopped' | undefined> = {
  finished: 'finished',
  failed: 'failed',
  stopped: 'stopped',
};

/** Converts a reported task that has ended; returns undefined while it runs. */
export function toEnded(
  { upstream }: Pick<WorkerRecord, 'upstream'>,
  reported: RunningTask,
): Ended | undefined {
  const state = endedStates[reported.state];
  if (!state) return undefined;
  const { task, attempt, job, team, result, message, usage, startedAgoMs } = reported;
  return {
    task,
    attempt,
    job,
    team,
    worker: upstream.id,
    state,
    ...(result === undefined ? {} : { result }),
    ...(message === undefined ? {} : { message }),
    ...(usage === undefined ? {} : { usage }),
    runMs: startedAgoMs,
  };
}

/** Tracks a task found on the worker. Its unit has moved to this process with the worker. */
function adoptTask(state: PoolState, record: WorkerRecord, reported: RunningTask): TrackedTask {
  const now = state.options.clock.now();
  const tracked: TrackedTask = {
    task: reported.task,
    attempt: reported.attempt,
    job: reported.job,
    team: reported.team,
    kind: reported.kind,
    worker: record.upstream.id,
    size: reported.size,
    startedAt: now - reported.startedAgoMs,
    confirmedAt: now,
    state: 'running',
  };
  record.tasks.set(tracked.task, tracked);
  allocateCapacity(state, record, tracked.size);
  return tracked;
}

/** Updates the record with one reported task. */
export function applyReportedTask(
  state: PoolState,
  record: WorkerRecord,
  reported: RunningTask,
): void {
  const tracked = record.tasks.get(reported.task);
  const ended = toEnded(record, reported);
  if (tracked && tracked.attempt === reported.attempt) {
    if (ended) {
      endTask(state, record, { tracked, ended });
    } else {
      confirmTask(tracked, state.options.clock.now());
    }
    return;
  }
  if (!ended || tracked) return;
  if (reported.kind === 'lookup') record.acknowledged.add(reported.task);
  else if (state.recentlyEnded.get(reported.task)?.attempt !== reported.attempt)
    reportEnded(state, ended);
}

/** Tracks a running task that the pool did not know. */
function adoptUnknownTask(state: PoolState, record: WorkerRecord, reported: RunningTask): void {
  const recent = state.recentlyEnded.get(reported.task);
  const wasRemoved = recent?.attempt === reported.attempt;
  // A lost task that still runs has outlived its lease and may have been started elsewhere.
  state.options.invariants.check(
    Invariant.SingleRun,
    !wasRemoved || state.ended.get(reported.task)?.ended.state !== 'lost',
    () => `task ${reported.task} runs on ${record.upstream.id} after its lease has expired`,
  );
  state.options.log.warn('A worker runs an unknown task.', {
    worker: record.upstream.id,
    task: reported.task,
  });
  adoptTask(state, record, reported);
  state.options.limits.addRunning(reported.team, 1);
}

/** Reconciles the record with a full task list that was requested at `askedAt`. */
export function reconcileWorker(
  state: PoolState,
  record: WorkerRecord,
  { list, askedAt }: { list: WorkerState; askedAt: number },
): void {
  const listedTasks = new Map(list.tasks.map((reported) => [reported.task, reported]));
  list.tasks.forEach((reported) => {
    applyReportedTask(state, record, reported);
    const recent = state.recentlyEnded.get(reported.task);
    const hasEndedSince = recent?.attempt === reported.attempt && recent.at >= askedAt;
    const isUnknown =
      !record.tasks.has(reported.task) && !toEnded(record, reported) && !hasEndedSince;
    if (isUnknown) adoptUnknownTask(state, record, reported);
  });
  [...record.tasks.values()].forEach((tracked) => {
    if (listedTasks.get(tracked.task)?.attempt === tracked.attempt) return;
    const wasConfirmed = tracked.confirmedAt !== undefined && tracked.confirmedAt < askedAt;
    const isStartExpired = tracked.uncertainUntil !== undefined && tracked.uncertainUntil < askedAt;
    if (!wasConfirmed && !isStartExpired) return;
    const message = wasConfirmed
      ? 'the worker does not list the task any more'
      : 'the start did not take effect';
    endTask(state, record, {
      tracked,
      ended: { worker: record.upstream.id, state: 'lost', message },
    });
  });
  Object.assign(record, {
    leaving: list.leaving,
    reachable: true,
    capacity: minimum(record.upstream.capacity, list.capacity),
    workerClock: { ms: list.clockMs, at: state.options.clock.now() },
    lastListAt: state.options.clock.now(),
  });
  updatePlacement(state, record);
}

/** Makes the record of a worker that has just been fenced. */
export function makeWorkerRecord(
  state: PoolState,
  { upstream, epoch }: Pick<WorkerRecord, 'upstream' | 'epoch'>,
  workerState: WorkerState,
): WorkerRecord {
  const now = state.options.clock.now();
  const record: WorkerRecord = {
    upstream,
    epoch,
    capacity: minimum(upstream.capacity, workerState.capacity),
    used: zeroSize,
    tasks: new Map(),
    reservations: new Map(),
    workerClock: { ms: workerState.clockMs, at: now },
    // The worker rejects the previous owner's renewals once it has been fenced.
    leaseUntil: now + getLeaseMs(state),
    reachable: true,
    leaving: workerState.leaving,
    outstanding: 0,
    latencyMs: 0,
    acknowledged: new Set(),
    lastListAt: now,
    isResolving: false,
    closed: new AbortController(),
  };
  state.records.set(upstream.id, record);
  workerState.tasks.forEach((reported) => {
    const ended = toEnded(record, reported);
    if (!ended) adoptTask(state, record, reported);
    else if (reported.kind === 'lookup') record.acknowledged.add(reported.task);
    else reportEnded(state, ended);
  });
  if (!fits(record.used, record.capacity)) {
    state.options.log.warn('The tasks of an acquired worker exceed its capacity.', {
      worker: upstream.id,
    });
  }
  updatePlacement(state, record);
  return record;
}

/** Ends all tasks of a worker as lost. Called once all their leases have expired. */
export function markTasksLost(state: PoolState, record: WorkerRecord, message: string): void {
  [...record.tasks.values()].forEach((tracked) =>
    endTask(state, record, {
      tracked,
      ended: { worker: record.upstream.id, state: 'lost', message },
    }),
  );
}
