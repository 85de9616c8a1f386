/**
 * Starts and stops on owned workers.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { ErrorKind, makeFailure, hasNotRun, failWith } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import { Invariant } from '../invariants/mod.ts';
import type { Need, StartAnswer, StartRequest } from '../schema/mod.ts';
import { resolveUncertain, workerTime } from './_renewals.ts';
import { endedReport } from './_reconcile.ts';
import {
  claimReservation,
  closedReason,
  endTask,
  freeTask,
  giveRoom,
  publish,
} from './_capacity.ts';
import { confirm, findTask, leaseMs } from './_state.ts';
import type { Entry, HeldTask, PoolState } from './_state.ts';
import type { Launch, Pool, Reservation } from './pool.ts';

const latencyWeight = 0.1;

/** The last check before a start is sent. */
function mayStart(state: PoolState, entry: Entry, launch: Launch): Either<Failure, number> {
  const { clock, membership } = state.parts;
  const { task, attempt } = launch;
  const freshUntil = membership.freshUntil();
  const closed = closedReason(state, entry);
  if (closed) return Left(closed);
  if (clock.now() >= freshUntil) {
    return failWith(ErrorKind.NotFresh, 'this process has no fresh read of the settings');
  }
  if ((state.barred.get(task)?.attempt ?? 0) >= attempt) {
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

function checkInvariants(state: PoolState, entry: Entry, freshUntil: number): void {
  const { invariants, settings, clock, limits } = state.parts;
  const fleet = settings.current();
  const { id, dataCentre } = entry.upstream;
  const fresh = clock.now() < freshUntil;
  invariants.check(
    Invariant.DataCentre,
    fresh && fleet.dataCentres[dataCentre]?.inService === true,
    () => `start on ${id} in ${dataCentre}, which is not in service`,
  );
  invariants.check(
    Invariant.Leaving,
    fresh && !entry.leaving && fleet.upstreams[id]?.leaving === false,
    () => `start on ${id}, which is leaving`,
  );
  entry.tasks.forEach(({ team }) =>
    invariants.check(
      Invariant.TeamLimit,
      limits.used(team) > 0,
      () => `a task of team ${team} runs on ${id} without a unit`,
    ),
  );
}

function addTask(state: PoolState, entry: Entry, { need, launch }: { need: Need; launch: Launch }) {
  const held: HeldTask = {
    task: launch.task,
    attempt: launch.attempt,
    job: launch.job,
    team: need.team,
    kind: need.kind,
    worker: entry.upstream.id,
    size: need.size,
    startedAt: state.parts.clock.now(),
    estimateMs: need.estimateMs,
    state: 'starting',
  };
  entry.tasks.set(held.task, held);
  // Acknowledgements name tasks: one of an earlier attempt must not reach the new one.
  entry.acknowledged.delete(held.task);
  return held;
}

function onAnswer(
  state: PoolState,
  entry: Entry,
  { held, answer }: { held: HeldTask; answer: StartAnswer },
): Either<Failure, StartAnswer> {
  const whole = answer.task === held.task && answer.attempt === held.attempt;
  state.parts.invariants.check(
    Invariant.WholeAnswer,
    whole,
    () =>
      `start of ${held.task}/${held.attempt} got the answer of ${answer.task}/${answer.attempt}`,
  );
  if (!whole) return failWith(ErrorKind.OutcomeUnknown, 'the worker answered for another task');
  if (answer.status === 'running') {
    confirm(held, state.parts.clock.now());
    return Right(answer);
  }
  const { status, body, message, runMs } = answer;
  endTask(state, entry, {
    held,
    ended: {
      worker: entry.upstream.id,
      state: status,
      ...(body === undefined ? {} : { result: body }),
      ...(message === undefined ? {} : { message }),
      ...(runMs === undefined ? {} : { runMs }),
    },
  });
  return Right(answer);
}

function onFailure(
  state: PoolState,
  entry: Entry,
  { held, failed, freshUntil }: { held: HeldTask; failed: Failure; freshUntil: number },
): void {
  const { ownership, onAttempt } = state.parts;
  if (hasNotRun(failed)) {
    freeTask(state, entry, held);
    const { kind, job } = held;
    const atFault =
      failed.kind === ErrorKind.WorkerRefused || failed.kind === ErrorKind.WorkerUnreachable;
    if (atFault) onAttempt?.({ worker: entry.upstream.id, job, ok: false, runMs: 0, kind });
    if (failed.kind === ErrorKind.EpochStale) ownership.lost(entry.upstream.id);
    return;
  }
  if (entry.tasks.get(held.task) !== held || held.confirmedAt !== undefined) return;
  Object.assign(held, { uncertainUntil: freshUntil });
  resolveUncertain(state, entry).catch((error: unknown) =>
    state.parts.log.error('The check of a start failed.', { error: String(error) }),
  );
}

function request(
  state: PoolState,
  entry: Entry,
  { need, launch, freshUntil }: { need: Need; launch: Launch; freshUntil: number },
): StartRequest {
  // JSON drops an undefined body, and the message requires one.
  const { task, attempt, job, idempotent, body = null } = launch;
  return {
    task,
    attempt,
    epoch: entry.epoch,
    notAfterMs: workerTime(entry, freshUntil),
    team: need.team,
    job,
    kind: need.kind,
    size: need.size,
    idempotent,
    leaseMs: leaseMs(state),
    body,
  };
}

/** Starts a task on a reservation. */
export async function start(
  state: PoolState,
  { reservation, launch }: { reservation: Reservation; launch: Launch },
  options: Parameters<Pool['start']>[2],
): Outcome<StartAnswer> {
  const { workers, clock, metrics } = state.parts;
  const { need } = reservation;
  const claimed = claimReservation(state, reservation);
  const entry = claimed.toMaybe().extract();
  if (!entry) return claimed.map((): never => undefined as never);
  const allowed = mayStart(state, entry, launch);
  const freshUntil = allowed.toMaybe().extract();
  if (freshUntil === undefined) {
    giveRoom(state, entry, need.size);
    state.parts.limits.giveBack(need.team);
    return allowed.map((): never => undefined as never);
  }
  const held = addTask(state, entry, { need, launch });
  checkInvariants(state, entry, freshUntil);
  Object.assign(entry, {
    leaseUntil: Math.max(entry.leaseUntil, freshUntil + leaseMs(state)),
    outstanding: entry.outstanding + 1,
  });
  const sentAt = clock.now();
  metrics.count('starts', 1, { kind: need.kind });
  const answer = await workers.start(
    entry.upstream,
    request(state, entry, { need, launch, freshUntil }),
    options,
  );
  const tookMs = clock.now() - sentAt;
  Object.assign(entry, {
    outstanding: entry.outstanding - 1,
    latencyMs: entry.latencyMs + (tookMs - entry.latencyMs) * latencyWeight,
  });
  if (state.entries.get(entry.upstream.id) === entry) publish(state, entry);
  return answer
    .ifLeft((failed) => onFailure(state, entry, { held, failed, freshUntil }))
    .chain((value) => onAnswer(state, entry, { held, answer: value }))
    .ifLeft((failed) => {
      if (failed.kind === ErrorKind.OutcomeUnknown)
        onFailure(state, entry, { held, failed, freshUntil });
    });
}

/** Stops, checkpoints or throttles a task. */
export async function stop(
  state: PoolState,
  { task, mode }: { task: string; mode: 'stop' | 'checkpoint' | 'throttle' },
): Outcome<void> {
  const found = findTask(state, task);
  if (!found) return failWith(ErrorKind.NotFound, `task ${task} does not run on an owned worker`);
  const [entry, held] = found;
  if (mode !== 'throttle') held.state = 'stopping';
  const answer = await state.parts.workers.stop(entry.upstream, {
    epoch: entry.epoch,
    task,
    mode,
  });
  return answer
    .ifRight((running) => {
      const ended = running.attempt === held.attempt ? endedReport(entry, running) : undefined;
      if (ended) endTask(state, entry, { held, ended });
    })
    .ifLeft(({ kind }) => {
      if (kind === ErrorKind.EpochStale) state.parts.ownership.lost(entry.upstream.id);
    })
    .mapLeft((failed) =>
      failed.kind === ErrorKind.EpochStale
        ? makeFailure(ErrorKind.NotOwner, `worker ${entry.upstream.id} has another owner`)
        : failed,
    )
    .map(() => undefined);
}
