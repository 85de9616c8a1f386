/**
 * Brings the pool's record of a worker in line with what the worker reports.
 */
import { Invariant } from '../invariants/mod.ts';
import type { Ended, RunningTask, WorkerState } from '../schema/mod.ts';
import { fits, noSize, smaller } from './_size.ts';
import { endTask, publish, report, takeRoom } from './_capacity.ts';
import { confirm, leaseMs } from './_state.ts';
import type { Entry, HeldTask, PoolState } from './_state.ts';

const endedStates: Record<string, 'finished' | 'failed' | 'stopped' | undefined> = {
  finished: 'finished',
  failed: 'failed',
  stopped: 'stopped',
};

/** The report of a task that the worker says has ended, or undefined while it runs. */
export function endedReport(
  { upstream }: Pick<Entry, 'upstream'>,
  running: RunningTask,
): Ended | undefined {
  const state = endedStates[running.state];
  if (!state) return undefined;
  const { task, attempt, job, team, result, message, usage, startedAgoMs } = running;
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
function adopt(state: PoolState, entry: Entry, running: RunningTask): HeldTask {
  const now = state.parts.clock.now();
  const held: HeldTask = {
    task: running.task,
    attempt: running.attempt,
    job: running.job,
    team: running.team,
    kind: running.kind,
    worker: entry.upstream.id,
    size: running.size,
    startedAt: now - running.startedAgoMs,
    confirmedAt: now,
    state: 'running',
  };
  entry.tasks.set(held.task, held);
  takeRoom(state, entry, held.size);
  return held;
}

/** Applies one reported task. */
export function applyReport(state: PoolState, entry: Entry, running: RunningTask): void {
  const held = entry.tasks.get(running.task);
  const ended = endedReport(entry, running);
  if (held && held.attempt === running.attempt) {
    if (ended) {
      endTask(state, entry, { held, ended });
    } else {
      confirm(held, state.parts.clock.now());
    }
    return;
  }
  if (!ended || held) return;
  if (running.kind === 'lookup') entry.acknowledged.add(running.task);
  else if (state.recent.get(running.task)?.attempt !== running.attempt) report(state, ended);
}

/** Handles a running task that the pool does not account for. */
function applyStranger(state: PoolState, entry: Entry, running: RunningTask): void {
  const recent = state.recent.get(running.task);
  const lapsed = recent?.attempt === running.attempt;
  // A lost task that still runs has outlived its lease; it may have been started elsewhere.
  state.parts.invariants.check(
    Invariant.SingleRun,
    !lapsed || state.ended.get(running.task)?.ended.state !== 'lost',
    () => `task ${running.task} runs on ${entry.upstream.id} after its lease has lapsed`,
  );
  state.parts.log.warn('A worker runs a task that is not accounted for.', {
    worker: entry.upstream.id,
    task: running.task,
  });
  adopt(state, entry, running);
  state.parts.limits.adopt(running.team, 1);
}

/** Applies a full list; `askedAt` is when the list was asked for. */
export function reconcile(
  state: PoolState,
  entry: Entry,
  { list, askedAt }: { list: WorkerState; askedAt: number },
): void {
  const listed = new Map(list.tasks.map((running) => [running.task, running]));
  list.tasks.forEach((running) => {
    applyReport(state, entry, running);
    const recent = state.recent.get(running.task);
    const endedSince = recent?.attempt === running.attempt && recent.at >= askedAt;
    const strange = !entry.tasks.has(running.task) && !endedReport(entry, running) && !endedSince;
    if (strange) applyStranger(state, entry, running);
  });
  [...entry.tasks.values()].forEach((held) => {
    if (listed.get(held.task)?.attempt === held.attempt) return;
    const confirmed = held.confirmedAt !== undefined && held.confirmedAt < askedAt;
    const tooLate = held.uncertainUntil !== undefined && held.uncertainUntil < askedAt;
    if (!confirmed && !tooLate) return;
    const message = confirmed
      ? 'the worker does not list the task any more'
      : 'the start did not take effect';
    endTask(state, entry, { held, ended: { worker: entry.upstream.id, state: 'lost', message } });
  });
  Object.assign(entry, {
    leaving: list.leaving,
    reachable: true,
    capacity: smaller(entry.upstream.capacity, list.capacity),
    workerClock: { ms: list.clockMs, at: state.parts.clock.now() },
    lastListAt: state.parts.clock.now(),
  });
  publish(state, entry);
}

/** Makes the record of a worker that was just fenced. */
export function makeEntry(
  state: PoolState,
  { upstream, epoch }: Pick<Entry, 'upstream' | 'epoch'>,
  fenced: WorkerState,
): Entry {
  const now = state.parts.clock.now();
  const entry: Entry = {
    upstream,
    epoch,
    capacity: smaller(upstream.capacity, fenced.capacity),
    used: noSize,
    tasks: new Map(),
    reservations: new Map(),
    workerClock: { ms: fenced.clockMs, at: now },
    // The former owner's renewals are rejected from the fence on.
    leaseUntil: now + leaseMs(state),
    reachable: true,
    leaving: fenced.leaving,
    outstanding: 0,
    latencyMs: 0,
    acknowledged: new Set(),
    lastListAt: now,
    resolving: false,
    closed: new AbortController(),
  };
  state.entries.set(upstream.id, entry);
  fenced.tasks.forEach((running) => {
    const ended = endedReport(entry, running);
    if (!ended) adopt(state, entry, running);
    else if (running.kind === 'lookup') entry.acknowledged.add(running.task);
    else report(state, ended);
  });
  if (!fits(entry.used, entry.capacity)) {
    state.parts.log.warn('A worker was acquired with more tasks than it has room for.', {
      worker: upstream.id,
    });
  }
  publish(state, entry);
  return entry;
}

/** Declares every task of a worker lost; called once all leases have lapsed. */
export function loseTasks(state: PoolState, entry: Entry, message: string): void {
  [...entry.tasks.values()].forEach((held) =>
    endTask(state, entry, { held, ended: { worker: entry.upstream.id, state: 'lost', message } }),
  );
}
