/**
 * Starts and stops tasks on owned workers.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { ErrorKind, makeFailure, hasNotRun, failWith } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import { Invariant } from '../invariants/mod.ts';
import type { Need, StartAnswer, StartRequest } from '../schema/mod.ts';
import { estimateWorkerTimeMs, resolveUncertainStarts } from './_renewals.ts';
import { toEnded } from './_reconcile.ts';
import {
  consumeReservation,
  endTask,
  freeCapacity,
  getClosedReason,
  removeTask,
  updatePlacement,
} from './_capacity.ts';
import { confirmTask, findTask, getLeaseMs } from './_state.ts';
import type { PoolState, TrackedTask, WorkerRecord } from './_state.ts';
import type { Launch, Pool, Reservation } from './pool.ts';

const latencyWeight = 0.1;

/** Checks whether a start may be sent. Returns the time until which the settings are fresh. */
function checkStart(
  state: PoolState,
  record: WorkerRecord,
  launch: Launch,
): Either<Failure, number> {
  const { clock, membership } = state.options;
  const { task, attempt } = launch;
  const freshUntil = membership.freshUntil();
  const closedReason = getClosedReason(state, record);
  if (closedReason) return Left(closedReason);
  if (clock.now() >= freshUntil) {
    return failWith(ErrorKind.NotFresh, 'this process has no fresh read of the settings');
  }
  if ((state.blockedAttempts.get(task)?.attempt ?? 0) >= attempt) {
    return failWith(
      ErrorKind.WorkerRefused,
      `attempt ${attempt} of ${task} was reported as absent`,
    );
  }
  if (findTask(state, task)) {
    return failWith(ErrorKind.WorkerRefused, `task ${task} runs already`);
  }
  return Right(freshUntil);
}

function checkStartInvariants(state: PoolState, record: WorkerRecord, freshUntil: number): void {
  const { invariants, settings, clock, limits } = state.options;
  const fleet = settings.current();
  const { id, dataCentre } = record.upstream;
  const isFresh = clock.now() < freshUntil;
  invariants.check(
    Invariant.DataCentre,
    isFresh && fleet.dataCentres[dataCentre]?.inService === true,
    () => `start on ${id} in ${dataCentre}, which is not in service`,
  );
  invariants.check(
    Invariant.Leaving,
    isFresh && !record.leaving && fleet.upstreams[id]?.leaving === false,
    () => `start on ${id}, which is leaving`,
  );
  record.tasks.forEach(({ team }) =>
    invariants.check(
      Invariant.TeamLimit,
      limits.used(team) > 0,
      () => `a task of team ${team} runs on ${id} without a unit`,
    ),
  );
}

function addTask(
  state: PoolState,
  record: WorkerRecord,
  { need, launch }: { need: Need; launch: Launch },
) {
  const tracked: TrackedTask = {
    task: launch.task,
    attempt: launch.attempt,
    job: launch.job,
    team: need.team,
    kind: need.kind,
    worker: record.upstream.id,
    size: need.size,
    startedAt: state.options.clock.now(),
    estimateMs: need.estimateMs,
    state: 'starting',
  };
  record.tasks.set(tracked.task, tracked);
  // An acknowledgement names no attempt: one of an earlier attempt must not apply to this one.
  record.acknowledged.delete(tracked.task);
  return tracked;
}

function handleResponse(
  state: PoolState,
  record: WorkerRecord,
  { tracked, response }: { tracked: TrackedTask; response: StartAnswer },
): Either<Failure, StartAnswer> {
  const isMatching = response.task === tracked.task && response.attempt === tracked.attempt;
  state.options.invariants.check(
    Invariant.WholeAnswer,
    isMatching,
    () =>
      `start of ${tracked.task}/${tracked.attempt} got the response of ${response.task}/${response.attempt}`,
  );
  if (!isMatching)
    return failWith(ErrorKind.OutcomeUnknown, 'the worker answered for another task');
  if (response.status === 'running') {
    confirmTask(tracked, state.options.clock.now());
    return Right(response);
  }
  const { status, body, message, runMs } = response;
  endTask(state, record, {
    tracked,
    ended: {
      worker: record.upstream.id,
      state: status,
      ...(body === undefined ? {} : { result: body }),
      ...(message === undefined ? {} : { message }),
      ...(runMs === undefined ? {} : { runMs }),
    },
  });
  return Right(response);
}

function handleFailure(
  state: PoolState,
  record: WorkerRecord,
  { tracked, failure, freshUntil }: { tracked: TrackedTask; failure: Failure; freshUntil: number },
): void {
  const { ownership, onAttempt } = state.options;
  if (hasNotRun(failure)) {
    removeTask(state, record, tracked);
    const { kind, job } = tracked;
    const isWorkerFault =
      failure.kind === ErrorKind.WorkerRefused || failure.kind === ErrorKind.WorkerUnreachable;
    if (isWorkerFault) onAttempt?.({ worker: record.upstream.id, job, ok: false, runMs: 0, kind });
    if (failure.kind === ErrorKind.EpochStale) ownership.lost(record.upstream.id);
    return;
  }
  if (record.tasks.get(tracked.task) !== tracked || tracked.confirmedAt !== undefined) return;
  Object.assign(tracked, { uncertainUntil: freshUntil });
  resolveUncertainStarts(state, record).catch((error: unknown) =>
    state.options.log.error('Resolving an uncertain start failed.', { error: String(error) }),
  );
}

function makeStartRequest(
  state: PoolState,
  record: WorkerRecord,
  { need, launch, freshUntil }: { need: Need; launch: Launch; freshUntil: number },
): StartRequest {
  // The message requires a body, but JSON omits an undefined one.
  const { task, attempt, job, idempotent, body = null } = launch;
  return {
    task,
    attempt,
    epoch: record.epoch,
    notAfterMs: estimateWorkerTimeMs(record, freshUntil),
    team: need.team,
    job,
    kind: need.kind,
    size: need.size,
    idempotent,
    leaseMs: getLeaseMs(state),
    body,
  };
}

/** Starts a task on the capacity of a reservation. */
export async function startTask(
  state: PoolState,
  { reservation, launch }: { reservation: Reservation; launch: Launch },
  startOptions: Parameters<Pool['start']>[2],
): Outcome<StartAnswer> {
  const { workers, clock, metrics } = state.options;
  const { need } = reservation;
  const consumed = consumeReservation(state, reservation);
  const record = consumed.toMaybe().extract();
  if (!record) return consumed.map((): never => undefined as never);
  const startCheck = checkStart(state, record, launch);
  const freshUntil = startCheck.toMaybe().extract();
  if (freshUntil === undefined) {
    freeCapacity(state, record, need.size);
    state.options.limits.release(need.team);
    return startCheck.map((): never => undefined as never);
  }
  const tracked = addTask(state, record, { need, launch });
  checkStartInvariants(state, record, freshUntil);
  Object.assign(record, {
    leaseUntil: Math.max(record.leaseUntil, freshUntil + getLeaseMs(state)),
    outstanding: record.outstanding + 1,
  });
  const sentAt = clock.now();
  metrics.count('starts', 1, { kind: need.kind });
  const response = await workers.start(
    record.upstream,
    makeStartRequest(state, record, { need, launch, freshUntil }),
    startOptions,
  );
  const tookMs = clock.now() - sentAt;
  Object.assign(record, {
    outstanding: record.outstanding - 1,
    latencyMs: record.latencyMs + (tookMs - record.latencyMs) * latencyWeight,
  });
  if (state.records.get(record.upstream.id) === record) updatePlacement(state, record);
  return response
    .ifLeft((failure) => handleFailure(state, record, { tracked, failure, freshUntil }))
    .chain((value) => handleResponse(state, record, { tracked, response: value }))
    .ifLeft((failure) => {
      if (failure.kind === ErrorKind.OutcomeUnknown)
        handleFailure(state, record, { tracked, failure, freshUntil });
    });
}

/** Stops, checkpoints or throttles a task. */
export async function stopTask(
  state: PoolState,
  { task, mode }: { task: string; mode: 'stop' | 'checkpoint' | 'throttle' },
): Outcome<void> {
  const found = findTask(state, task);
  if (!found) return failWith(ErrorKind.NotFound, `task ${task} does not run on an owned worker`);
  const [record, tracked] = found;
  if (mode !== 'throttle') tracked.state = 'stopping';
  const response = await state.options.workers.stop(record.upstream, {
    epoch: record.epoch,
    task,
    mode,
  });
  return response
    .ifRight((reported) => {
      const ended = reported.attempt === tracked.attempt ? toEnded(record, reported) : undefined;
      if (ended) endTask(state, record, { tracked, ended });
    })
    .ifLeft(({ kind }) => {
      if (kind === ErrorKind.EpochStale) state.options.ownership.lost(record.upstream.id);
    })
    .mapLeft((failure) =>
      failure.kind === ErrorKind.EpochStale
        ? makeFailure(ErrorKind.NotOwner, `worker ${record.upstream.id} has another owner`)
        : failure,
    )
    .map(() => undefined);
}
