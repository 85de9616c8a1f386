/**
 * Builds the pool of a process and connects it to ownership and settings.
 */
import type { Upstream, WorkerState } from '../schema/mod.ts';
import { watchPool } from './_maintenance.ts';
import { makeEntry } from './_reconcile.ts';
import { watchWorker } from './_renewals.ts';
import { cancelReservation, publish, reserve } from './_capacity.ts';
import { start, stop } from './_starts.ts';
import type { Entry, PoolParts, PoolState } from './_state.ts';
import type { Pool } from './pool.ts';

interface Acquired {
  upstream: Upstream;
  epoch: number;
}

function acquire(state: PoolState, worker: Acquired, fenced: WorkerState): void {
  release(state, worker.upstream.id);
  const entry = makeEntry(state, worker, fenced);
  watchWorker(state, entry).catch((error: unknown) =>
    state.parts.log.error('The renewal of a worker failed.', { error: String(error) }),
  );
  state.roomObservers.forEach((observer) => observer());
}

/** Forgets a worker. Its running tasks, and their units, belong to the next owner. */
function release(state: PoolState, worker: string): void {
  const entry = state.entries.get(worker);
  if (!entry) return;
  entry.closed.abort();
  state.entries.delete(worker);
  state.parts.placement.remove(worker);
  entry.reservations.forEach(({ need }) => state.parts.limits.giveBack(need.team));
  entry.reservations.clear();
  state.ended.forEach(({ ended }, task) => {
    if (ended.worker === worker) state.ended.delete(task);
  });
}

function attempt(state: PoolState, asked: { task: string; attempt: number; worker: string }) {
  const entry = state.entries.get(asked.worker);
  if (!entry) return 'unknown';
  const held = entry.tasks.get(asked.task);
  if (held && held.attempt >= asked.attempt) {
    if (held.attempt > asked.attempt) return 'absent';
    return held.confirmedAt === undefined ? 'unknown' : 'running';
  }
  if (state.ended.get(asked.task)?.ended.attempt === asked.attempt) return 'ended';
  state.barred.set(asked.task, { attempt: asked.attempt, at: state.parts.clock.now() });
  return 'absent';
}

function acknowledge(state: PoolState, tasks: string[]): void {
  tasks.forEach((task) => {
    const found = state.ended.get(task);
    if (!found) return;
    state.ended.delete(task);
    state.entries.get(found.ended.worker)?.acknowledged.add(task);
  });
}

function use(state: PoolState, worker: string) {
  const units: Record<string, number> = {};
  let starting = false;
  state.entries.get(worker)?.tasks.forEach(({ team, state: taskState }) => {
    units[team] = (units[team] ?? 0) + 1;
    starting ||= taskState === 'starting';
  });
  return { units, starting };
}

function keepFree(state: PoolState, worker: string | undefined): void {
  const before = state.keptFree;
  if (before === worker) return;
  Object.assign(state, { keptFree: worker });
  [before, worker].forEach((id) => {
    const entry = id === undefined ? undefined : state.entries.get(id);
    if (entry) publish(state, entry);
  });
}

function openWorkers({ entries }: PoolState) {
  return [...entries.values()]
    .filter(({ reachable, leaving }) => reachable && !leaving)
    .map(({ upstream, capacity, tasks }) => ({
      ...{ id: upstream.id, capacity, tasks: [...tasks.values()] },
    }));
}

function freeSlots(state: PoolState): number {
  let free = 0;
  state.entries.forEach((entry) => {
    if (entry.reachable && !entry.leaving) free += entry.capacity.slots - entry.used.slots;
  });
  return free;
}

function dumpEntry({ upstream, epoch, capacity, used, tasks, ...rest }: Entry): unknown {
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

function connect(state: PoolState): void {
  const { ownership, settings, log } = state.parts;
  ownership.subscribe({
    acquired: (worker, fenced) => acquire(state, worker, fenced),
    released: ({ upstream }) => release(state, upstream.id),
    partitionAcquired: () => undefined,
    partitionReleased: () => undefined,
  });
  settings.subscribe((fleet) =>
    state.entries.forEach((entry) => {
      const upstream = fleet.upstreams[entry.upstream.id];
      if (upstream) Object.assign(entry, { upstream });
      publish(state, entry);
    }),
  );
  watchPool(state).catch((error: unknown) =>
    log.error('The watch over team limits failed.', { error: String(error) }),
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
export function makePool(parts: PoolParts): Pool {
  let sequence = 0;
  const state: PoolState = {
    parts,
    entries: new Map(),
    ended: new Map(),
    recent: new Map(),
    barred: new Map(),
    endedObservers: [],
    roomObservers: [],
    nextId() {
      sequence += 1;
      return `r${sequence}`;
    },
    keptFree: undefined,
    closed: new AbortController(),
  };
  connect(state);
  return {
    reserve: (need) => reserve(state, need),
    cancel: (reservation) => cancelReservation(state, reservation),
    start: (reservation, launch, options) => start(state, { reservation, launch }, options),
    stop: (task, mode) => stop(state, { task, mode }),
    attempt: (task, number, worker) => attempt(state, { task, attempt: number, worker }),
    tasks: () => [...state.entries.values()].flatMap(({ tasks }) => [...tasks.values()]),
    onEnded: (observer) => state.endedObservers.push(observer),
    acknowledge: (tasks) => acknowledge(state, tasks),
    onRoom: (observer) => state.roomObservers.push(observer),
    workers: () => openWorkers(state),
    keepFree: (worker) => keepFree(state, worker),
    freeSlots: () => freeSlots(state),
    use: (worker) => use(state, worker),
    dump: () => ({
      workers: [...state.entries.values()].map(dumpEntry),
      ended: [...state.ended.values()].map(({ ended }) => ended),
    }),
    close() {
      state.closed.abort();
      state.entries.forEach((entry) => entry.closed.abort());
    },
  };
}
