/**
 * Capacity accounting: reservations, allocations, and their release when tasks end.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { ErrorKind, makeFailure, failWith } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import { Invariant } from '../invariants/mod.ts';
import type { Ended, Need, Size } from '../schema/mod.ts';
import { add, fits, subtract } from './_size.ts';
import { attemptRetentionMs } from './_state.ts';
import type { PoolState, TrackedTask, WorkerRecord } from './_state.ts';
import type { Reservation } from './pool.ts';

/** Returns why a worker accepts no new task, or undefined when it accepts them. */
export function getClosedReason(state: PoolState, record: WorkerRecord): Failure | undefined {
  const fleet = state.options.settings.current();
  const { id, dataCentre } = record.upstream;
  if (!fleet.dataCentres[dataCentre]?.inService) {
    return makeFailure(ErrorKind.DataCentreOut, `data centre ${dataCentre} is out of service`);
  }
  const configured = fleet.upstreams[id];
  if (record.leaving || !configured || configured.leaving) {
    return makeFailure(ErrorKind.NoRoom, `worker ${id} is leaving`);
  }
  if (!record.reachable)
    return makeFailure(ErrorKind.WorkerUnreachable, `worker ${id} does not answer`);
  return undefined;
}

/** Updates the placement index with the present state of a worker. */
export function updatePlacement(state: PoolState, record: WorkerRecord): void {
  const { upstream, capacity, used, outstanding, latencyMs } = record;
  state.options.placement.upsert({
    id: upstream.id,
    rack: upstream.rack,
    dataCentre: upstream.dataCentre,
    region: upstream.region,
    capacity,
    used,
    outstanding,
    latencyMs,
    penalty: state.options.penalty?.(upstream.id) ?? 0,
    open: state.cordonedWorker !== upstream.id && getClosedReason(state, record) === undefined,
  });
}

export function allocateCapacity(state: PoolState, record: WorkerRecord, size: Size): void {
  Object.assign(record, { used: add(record.used, size) });
  updatePlacement(state, record);
}

export function freeCapacity(state: PoolState, record: WorkerRecord, size: Size): void {
  Object.assign(record, { used: subtract(record.used, size) });
  if (state.records.get(record.upstream.id) === record) updatePlacement(state, record);
}

function notifyCapacityFreed(state: PoolState): void {
  state.capacityObservers.forEach((observer) => observer());
}

/** Reserves capacity on a worker and a unit of the team's limit for one task. */
export function reserve(state: PoolState, need: Need): Either<Failure, Reservation> {
  const { limits, placement, membership, clock, invariants } = state.options;
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
      const record = state.records.get(choice.worker);
      if (!record)
        return failWith(ErrorKind.NoRoom, `worker ${choice.worker} is not owned any more`);
      if (!limits.acquire(need.team)) {
        return failWith(ErrorKind.TeamLimit, `team ${need.team} has no free unit in this process`);
      }
      allocateCapacity(state, record, need.size);
      const { id: worker, rack, dataCentre } = record.upstream;
      invariants.check(
        Invariant.Capacity,
        fits(record.used, record.capacity),
        () =>
          `worker ${worker} uses ${JSON.stringify(record.used)} of ${JSON.stringify(record.capacity)}`,
      );
      const reservation = {
        id: state.nextReservationId(),
        place: { worker, epoch: record.epoch, rack, dataCentre },
        need,
      };
      record.reservations.set(reservation.id, reservation);
      return Right(reservation);
    });
}

/** Cancels an unused reservation. A second call has no effect. */
export function cancelReservation(state: PoolState, reservation: Reservation): void {
  const record = state.records.get(reservation.place.worker);
  if (!record?.reservations.delete(reservation.id)) return;
  freeCapacity(state, record, reservation.need.size);
  state.options.limits.release(reservation.need.team);
  notifyCapacityFreed(state);
}

/** Removes a reservation to start a task on it; its capacity and unit stay allocated. */
export function consumeReservation(
  state: PoolState,
  reservation: Reservation,
): Either<Failure, WorkerRecord> {
  const { worker, epoch } = reservation.place;
  const record = state.records.get(worker);
  if (!record || record.epoch !== epoch || !record.reservations.delete(reservation.id)) {
    return Left(
      makeFailure(
        ErrorKind.NotOwner,
        `reservation ${reservation.id} on worker ${worker} is not valid`,
        {
          got: epoch,
          expected: record?.epoch,
        },
      ),
    );
  }
  return Right(record);
}

/** Removes a task that certainly does not run, and frees its capacity and its unit. */
export function removeTask(state: PoolState, record: WorkerRecord, tracked: TrackedTask): void {
  if (record.tasks.get(tracked.task) !== tracked) return;
  record.tasks.delete(tracked.task);
  const now = state.options.clock.now();
  state.recentlyEnded.set(tracked.task, { attempt: tracked.attempt, at: now });
  freeCapacity(state, record, tracked.size);
  // The units of tasks on a released worker have moved to its next owner.
  if (state.records.get(record.upstream.id) !== record) return;
  state.options.limits.release(tracked.team);
  notifyCapacityFreed(state);
}

/** Records that a task has ended. The end of a job's task is kept until it is acknowledged. */
export function endTask(
  state: PoolState,
  record: WorkerRecord,
  {
    tracked,
    ended,
  }: { tracked: TrackedTask; ended: Omit<Ended, 'task' | 'attempt' | 'job' | 'team'> },
): void {
  if (record.tasks.get(tracked.task) !== tracked) return;
  removeTask(state, record, tracked);
  const { clock, onAttempt } = state.options;
  const { task, attempt, job, team, kind } = tracked;
  if (ended.state !== 'stopped') {
    const runMs = ended.runMs ?? Math.max(0, clock.now() - tracked.startedAt);
    onAttempt?.({ worker: record.upstream.id, job, ok: ended.state === 'finished', runMs, kind });
  }
  if (kind === 'lookup') {
    if (ended.state !== 'lost') record.acknowledged.add(task);
    return;
  }
  reportEnded(state, { task, attempt, job, team, ...ended });
}

/** Records an ended task as unacknowledged and notifies the observers. */
export function reportEnded(state: PoolState, ended: Ended): void {
  const existing = state.ended.get(ended.task);
  if (existing && existing.ended.attempt >= ended.attempt) return;
  state.ended.set(ended.task, { ended, notifiedAt: state.options.clock.now() });
  state.endedObservers.forEach((observer) => observer([ended]));
}

/** Removes ended and blocked attempts that no delayed message can refer to any more. */
export function removeOldAttempts(state: PoolState): void {
  const oldestKeptAt = state.options.clock.now() - attemptRetentionMs;
  [state.recentlyEnded, state.blockedAttempts].forEach((attempts) =>
    attempts.forEach(({ at }, task) => {
      if (at < oldestKeptAt) attempts.delete(task);
    }),
  );
}
