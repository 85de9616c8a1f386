/**
 * Room accounting: reservations, and what ended tasks give back.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { ErrorKind, makeFailure, failWith } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import { Invariant } from '../invariants/mod.ts';
import type { Ended, Need, Size } from '../schema/mod.ts';
import { add, fits, subtract } from './_size.ts';
import { memoryMs } from './_state.ts';
import type { Entry, HeldTask, PoolState } from './_state.ts';
import type { Reservation } from './pool.ts';

/** Why a worker accepts no new task, or undefined when it does. */
export function closedReason(state: PoolState, entry: Entry): Failure | undefined {
  const fleet = state.parts.settings.current();
  const { id, dataCentre } = entry.upstream;
  if (!fleet.dataCentres[dataCentre]?.inService) {
    return makeFailure(ErrorKind.DataCentreOut, `data centre ${dataCentre} is out of service`);
  }
  const configured = fleet.upstreams[id];
  if (entry.leaving || !configured || configured.leaving) {
    return makeFailure(ErrorKind.NoRoom, `worker ${id} is leaving`);
  }
  if (!entry.reachable)
    return makeFailure(ErrorKind.WorkerUnreachable, `worker ${id} does not answer`);
  return undefined;
}

/** Tells the placement index about a worker. */
export function publish(state: PoolState, entry: Entry): void {
  const { upstream, capacity, used, outstanding, latencyMs } = entry;
  state.parts.placement.upsert({
    id: upstream.id,
    rack: upstream.rack,
    dataCentre: upstream.dataCentre,
    region: upstream.region,
    capacity,
    used,
    outstanding,
    latencyMs,
    penalty: state.parts.penalty?.(upstream.id) ?? 0,
    open: state.keptFree !== upstream.id && closedReason(state, entry) === undefined,
  });
}

export function takeRoom(state: PoolState, entry: Entry, size: Size): void {
  Object.assign(entry, { used: add(entry.used, size) });
  publish(state, entry);
}

export function giveRoom(state: PoolState, entry: Entry, size: Size): void {
  Object.assign(entry, { used: subtract(entry.used, size) });
  if (state.entries.get(entry.upstream.id) === entry) publish(state, entry);
}

function notifyRoom(state: PoolState): void {
  state.roomObservers.forEach((observer) => observer());
}

/** Takes room and a unit for one task. */
export function reserve(state: PoolState, need: Need): Either<Failure, Reservation> {
  const { limits, placement, membership, clock, invariants } = state.parts;
  if (clock.now() >= membership.freshUntil()) {
    return failWith(ErrorKind.NotFresh, 'this process has no fresh read of the settings');
  }
  if (limits.free(need.team) < 1) {
    return failWith(ErrorKind.TeamLimit, `team ${need.team} has no free unit in this process`);
  }
  return placement
    .choose(need)
    .mapLeft(({ reason }) => makeFailure(ErrorKind.NoRoom, reason))
    .chain((choice) => {
      const entry = state.entries.get(choice.worker);
      if (!entry)
        return failWith(ErrorKind.NoRoom, `worker ${choice.worker} is not owned any more`);
      if (!limits.take(need.team)) {
        return failWith(ErrorKind.TeamLimit, `team ${need.team} has no free unit in this process`);
      }
      takeRoom(state, entry, need.size);
      const { id: worker, rack, dataCentre } = entry.upstream;
      invariants.check(
        Invariant.Capacity,
        fits(entry.used, entry.capacity),
        () =>
          `worker ${worker} uses ${JSON.stringify(entry.used)} of ${JSON.stringify(entry.capacity)}`,
      );
      const reservation = {
        id: state.nextId(),
        place: { worker, epoch: entry.epoch, rack, dataCentre },
        need,
      };
      entry.reservations.set(reservation.id, reservation);
      return Right(reservation);
    });
}

/** Returns an unused reservation; a second call has no effect. */
export function cancelReservation(state: PoolState, reservation: Reservation): void {
  const entry = state.entries.get(reservation.place.worker);
  if (!entry?.reservations.delete(reservation.id)) return;
  giveRoom(state, entry, reservation.need.size);
  state.parts.limits.giveBack(reservation.need.team);
  notifyRoom(state);
}

/** Turns a reservation into a task; the room and the unit stay taken. */
export function claimReservation(
  state: PoolState,
  reservation: Reservation,
): Either<Failure, Entry> {
  const { worker, epoch } = reservation.place;
  const entry = state.entries.get(worker);
  if (!entry || entry.epoch !== epoch || !entry.reservations.delete(reservation.id)) {
    return Left(
      makeFailure(
        ErrorKind.NotOwner,
        `reservation ${reservation.id} on worker ${worker} is not valid`,
        {
          got: epoch,
          expected: entry?.epoch,
        },
      ),
    );
  }
  return Right(entry);
}

/** Frees what a task held, once it certainly does not run. */
export function freeTask(state: PoolState, entry: Entry, held: HeldTask): void {
  if (entry.tasks.get(held.task) !== held) return;
  entry.tasks.delete(held.task);
  const now = state.parts.clock.now();
  state.recent.set(held.task, { attempt: held.attempt, at: now });
  giveRoom(state, entry, held.size);
  // The units of a released worker's tasks have moved to its next owner.
  if (state.entries.get(entry.upstream.id) !== entry) return;
  state.parts.limits.giveBack(held.team);
  notifyRoom(state);
}

/** Records that a task has ended; tasks of jobs wait for their acknowledgement. */
export function endTask(
  state: PoolState,
  entry: Entry,
  { held, ended }: { held: HeldTask; ended: Omit<Ended, 'task' | 'attempt' | 'job' | 'team'> },
): void {
  if (entry.tasks.get(held.task) !== held) return;
  freeTask(state, entry, held);
  const { clock, onAttempt } = state.parts;
  const { task, attempt, job, team, kind } = held;
  if (ended.state !== 'stopped') {
    const runMs = ended.runMs ?? Math.max(0, clock.now() - held.startedAt);
    onAttempt?.({ worker: entry.upstream.id, job, ok: ended.state === 'finished', runMs, kind });
  }
  if (kind === 'lookup') {
    if (ended.state !== 'lost') entry.acknowledged.add(task);
    return;
  }
  report(state, { task, attempt, job, team, ...ended });
}

/** Queues an ended task for the observers. */
export function report(state: PoolState, ended: Ended): void {
  const known = state.ended.get(ended.task);
  if (known && known.ended.attempt >= ended.attempt) return;
  state.ended.set(ended.task, { ended, notifiedAt: state.parts.clock.now() });
  state.endedObservers.forEach((observer) => observer([ended]));
}

/** Forgets ended and barred attempts that no delayed message can refer to any more. */
export function forgetOld(state: PoolState): void {
  const oldest = state.parts.clock.now() - memoryMs;
  [state.recent, state.barred].forEach((memory) =>
    memory.forEach(({ at }, task) => {
      if (at < oldest) memory.delete(task);
    }),
  );
}
