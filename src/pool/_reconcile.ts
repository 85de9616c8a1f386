/**
 * Brings the pool's record of a worker in line with what the worker reports.
 */
import { Invariant } from '../invariants/mod.ts';
import type { Ended, RunningTask, WorkerState } from '../schema/mod.ts';
import { fits, zeroSize, minimum } from './_size.ts';
import { endTask, updatePlacement, reportEnded, allocateCapacity } from './_capacity.ts';
import { confirmTask, getLeaseMs } from './_state.ts';
import type { WorkerRecord, TrackedTask, PoolState } from './_state.ts';

const endedStates: Record<string, 'finished' | 'failed' | 'stopped' | undefined> = {
  finished: 'finished',
  failed: 'failed',
  stopped: 'stopped',
};

/** The report of a task that the worker says has ended, or undefined while it runs. */
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

/** Adds a task that was found on the worker; its unit has moved here with the worker. */
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

/** Applies one reported task. */
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

/** Handles a reported task that the pool does not account for. */
function adoptUnknownTask(state: PoolState, record: WorkerRecord, reported: RunningTask): void {
  const recent = state.recentlyEnded.get(reported.task);
  const wasRemoved = recent?.attempt === reported.attempt;
  // A lost task that still runs has outlived its lease; it may have been started elsewhere.
  state.options.invariants.check(
    Invariant.SingleRun,
    !wasRemoved || state.ended.get(reported.task)?.ended.state !== 'lost',
    () => `task ${reported.task} runs on ${record.upstream.id} after its lease has lapsed`,
  );
  state.options.log.warn('A worker runs a task that is not accounted for.', {
    worker: record.upstream.id,
    task: reported.task,
  });
  adoptTask(state, record, reported);
  state.options.limits.adopt(reported.team, 1);
}

/** Applies a full list; `askedAt` is when the list was asked for. */
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

/** Makes the record of a worker that was just fenced. */
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
    // The former owner's renewals are rejected from the fence on.
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
    state.options.log.warn('A worker was acquired with more tasks than it has room for.', {
      worker: upstream.id,
    });
  }
  updatePlacement(state, record);
  return record;
}

/** Declares every task of a worker lost; called once all leases have lapsed. */
export function markTasksLost(state: PoolState, record: WorkerRecord, message: string): void {
  [...record.tasks.values()].forEach((tracked) =>
    endTask(state, record, {
      tracked,
      ended: { worker: record.upstream.id, state: 'lost', message },
    }),
  );
}
