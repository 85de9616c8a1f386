/**
 * Makes the pool of a process and subscribes it to changes of ownership and settings.
 */
import type { Upstream, WorkerState } from '../schema/mod.ts';
import { maintainPool } from './_maintenance.ts';
import { makeWorkerRecord } from './_reconcile.ts';
import { watchWorker } from './_renewals.ts';
import { cancelReservation, reserve, updatePlacement } from './_capacity.ts';
import { startTask, stopTask } from './_starts.ts';
import type { PoolOptions, PoolState, WorkerRecord } from './_state.ts';
import type { Pool } from './pool.ts';

interface AcquiredWorker {
  upstream: Upstream;
  epoch: number;
}

function addWorker(state: PoolState, worker: AcquiredWorker, workerState: WorkerState): void {
  removeWorker(state, worker.upstream.id);
  const record = makeWorkerRecord(state, worker, workerState);
  watchWorker(state, record).catch((error: unknown) =>
    state.options.log.error('The lease renewal of a worker failed.', { error: String(error) }),
  );
  state.capacityObservers.forEach((observer) => observer());
}

/** Removes a worker. Its running tasks and their units belong to the next owner. */
function removeWorker(state: PoolState, worker: string): void {
  const record = state.records.get(worker);
  if (!record) return;
  record.closed.abort();
  state.records.delete(worker);
  state.options.placement.remove(worker);
  record.reservations.forEach(({ need }) => state.options.limits.release(need.team));
  record.reservations.clear();
  state.ended.forEach(({ ended }, task) => {
    if (ended.worker === worker) state.ended.delete(task);
  });
}

function getAttemptState(
  state: PoolState,
  query: { task: string; attempt: number; worker: string },
) {
  const record = state.records.get(query.worker);
  if (!record) return 'unknown';
  const tracked = record.tasks.get(query.task);
  if (tracked && tracked.attempt >= query.attempt) {
    if (tracked.attempt > query.attempt) return 'absent';
    return tracked.confirmedAt === undefined ? 'unknown' : 'running';
  }
  if (state.ended.get(query.task)?.ended.attempt === query.attempt) return 'ended';
  state.blockedAttempts.set(query.task, { attempt: query.attempt, at: state.options.clock.now() });
  return 'absent';
}

function acknowledgeTasks(state: PoolState, tasks: string[]): void {
  tasks.forEach((task) => {
    const found = state.ended.get(task);
    if (!found) return;
    state.ended.delete(task);
    state.records.get(found.ended.worker)?.acknowledged.add(task);
  });
}

function countUnits(state: PoolState, worker: string) {
  const units: Record<string, number> = {};
  let starting = false;
  state.records.get(worker)?.tasks.forEach(({ team, state: taskState }) => {
    units[team] = (units[team] ?? 0) + 1;
    starting ||= taskState === 'starting';
  });
  return { units, starting };
}

function cordonWorker(state: PoolState, worker: string | undefined): void {
  const previous = state.cordonedWorker;
  if (previous === worker) return;
  Object.assign(state, { cordonedWorker: worker });
  [previous, worker].forEach((id) => {
    const record = id === undefined ? undefined : state.records.get(id);
    if (record) updatePlacement(state, record);
  });
}

function listOpenWorkers({ records }: PoolState) {
  return [...records.values()]
    .filter(({ reachable, leaving }) => reachable && !leaving)
    .map(({ upstream, capacity, tasks }) => ({
      ...{ id: upstream.id, capacity, tasks: [...tasks.values()] },
    }));
}

function countFreeSlots(state: PoolState): number {
  let free = 0;
  state.records.forEach((record) => {
    if (record.reachable && !record.leaving) free += record.capacity.slots - record.used.slots;
  });
  return free;
}

function dumpRecord({ upstream, epoch, capacity, used, tasks, ...rest }: WorkerRecord): unknown {
  const { reachable, leaving, outstanding, latencyMs, leaseUntil } = rest;
  return {
    worker: upstream.id,
    epoch,
    capacity,
    used,
    reachable,
    leaving,
    outstanding,
    latencyMs: Math.round(latencyMs),
    leaseUntil,
    reservations: [...rest.reservations.values()],
    tasks: [...tasks.values()],
  };
}

function subscribeToChanges(state: PoolState): void {
  const { ownership, settings, log } = state.options;
  ownership.subscribe({
    acquired: (worker, workerState) => addWorker(state, worker, workerState),
    released: ({ upstream }) => removeWorker(state, upstream.id),
    partitionAcquired: () => undefined,
    partitionReleased: () => undefined,
  });
  settings.subscribe((fleet) =>
    state.records.forEach((record) => {
      const upstream = fleet.upstreams[record.upstream.id];
      if (upstream) Object.assign(record, { upstream });
      updatePlacement(state, record);
    }),
  );
  maintainPool(state).catch((error: unknown) =>
    log.error('The maintenance of the pool failed.', { error: String(error) }),
  );
}

/**
 * Makes the pool of a process.
 *
 * @example
 * const pool = makePool({ clock, random, workers, placement, limits, invariants, membership,
 *   settings, ownership, log, metrics });
 * pool.reserve(need).map((reservation) => pool.start(reservation, launch));
 */
export function makePool(options: PoolOptions): Pool {
  let lastReservationNumber = 0;
  const state: PoolState = {
    options,
    records: new Map(),
    ended: new Map(),
    recentlyEnded: new Map(),
    blockedAttempts: new Map(),
    endedObservers: [],
    capacityObservers: [],
    nextReservationId() {
      lastReservationNumber += 1;
      return `r${lastReservationNumber}`;
    },
    cordonedWorker: undefined,
    closed: new AbortController(),
  };
  subscribeToChanges(state);
  return {
    reserve: (need) => reserve(state, need),
    cancel: (reservation) => cancelReservation(state, reservation),
    start: (reservation, launch, startOptions) =>
      startTask(state, { reservation, launch }, startOptions),
    stop: (task, mode) => stopTask(state, { task, mode }),
    getAttemptState: (task, number, worker) =>
      getAttemptState(state, { task, attempt: number, worker }),
    tasks: () => [...state.records.values()].flatMap(({ tasks }) => [...tasks.values()]),
    onEnded: (observer) => state.endedObservers.push(observer),
    acknowledge: (tasks) => acknowledgeTasks(state, tasks),
    onCapacityFreed: (observer) => state.capacityObservers.push(observer),
    workers: () => listOpenWorkers(state),
    cordonWorker: (worker) => cordonWorker(state, worker),
    freeSlots: () => countFreeSlots(state),
    countUnits: (worker) => countUnits(state, worker),
    dump: () => ({
      workers: [...state.records.values()].map(dumpRecord),
      ended: [...state.ended.values()].map(({ ended }) => ended),
    }),
    close() {
      state.closed.abort();
      state.records.forEach((record) => record.closed.abort());
    },
  };
}
