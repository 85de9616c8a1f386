/**
 * Validates a caller's request and creates a job from it.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import { Phase } from '../membership/mod.ts';
import type { Job, JobRequest } from '../schema/mod.ts';
import {
  checkSize,
  findQueue,
  completeSize,
  countInLargestDomain,
  listUpstreams,
} from './_feasibility.ts';
import { partitionOf } from './_job_rows.ts';
import type { JobsState } from './_job_state.ts';
import type { Caller } from './dispatch.ts';

const defaultEstimateMs = 60_000;
const defaultMaxAttempts = 5;

/** Generates ids until one hashes to a partition that this process owns. */
function generateJobId({ random, rows }: JobsState): string | undefined {
  const ownPartitions = new Set(rows.partitions());
  if (ownPartitions.size === 0) return undefined;
  for (;;) {
    const id = `j-${Math.floor(random() * 2 ** 52).toString(36)}`;
    if (ownPartitions.has(partitionOf(id))) return id;
  }
}

function findRefusal({ membership }: JobsState): Failure | undefined {
  if (membership.phase() === Phase.Draining) {
    return makeFailure(ErrorKind.Draining, 'this process is shutting down');
  }
  if (!membership.isFresh()) {
    return makeFailure(ErrorKind.NotFresh, 'this process has no fresh read of the settings');
  }
  return undefined;
}

function checkGang(
  state: JobsState,
  {
    request,
    caller,
  }: { request: Pick<JobRequest, 'kind' | 'tasks' | 'size' | 'across'>; caller: Caller },
): Either<Failure, void> {
  const fleet = state.settings.current();
  const team = fleet.teams[caller.team];
  const { tasks = 1, across = 'fleet' } = request;
  if (request.kind !== 'gang' || !team) return Right(undefined);
  const queue = team.queues[caller.queue];
  const upstreams = queue ? listUpstreams(fleet, queue) : [];
  const maxGangTasks = countInLargestDomain(upstreams, {
    size: completeSize(request.size),
    across,
  });
  if (tasks <= Math.min(maxGangTasks, team.limit)) return Right(undefined);
  return Left(
    makeFailure(
      ErrorKind.SizeInfeasible,
      `a gang of ${tasks} can never run at once within one ${across}`,
      {
        got: tasks,
        expected: Math.min(maxGangTasks, team.limit),
      },
    ),
  );
}

/** Returns why a job's tasks, or its gang, could not run even on an idle fleet. */
export function findInfeasibility(state: JobsState, job: Job): Failure | undefined {
  const { team, queue, kind, size } = job;
  const fleet = state.settings.current();
  return findQueue(fleet, { team, queue, kind })
    .chain((queueSettings) => checkSize(fleet, { queue: queueSettings, size }))
    .chain(() => checkGang(state, { request: job, caller: { team, queue } }))
    .swap()
    .toMaybe()
    .extract();
}

/** Validates a request and creates the job without storing it. */
export function makeJob(
  state: JobsState,
  { caller, request }: { caller: Caller; request: JobRequest },
): Either<Failure, Job> {
  const refusal = findRefusal(state);
  if (refusal) return Left(refusal);
  const { team, queue } = caller;
  const size = completeSize(request.size);
  const fleet = state.settings.current();
  return findQueue(fleet, { team, queue, kind: request.kind })
    .chain((queueSettings) => checkSize(fleet, { queue: queueSettings, size }))
    .chain((queueSettings) => checkGang(state, { request, caller }).map(() => queueSettings))
    .chain((queueSettings): Either<Failure, Job> => {
      const waitingJobs = state.rows
        .all()
        .filter((job) => job.team === team && job.queue === queue && job.state === 'waiting');
      if (waitingJobs.length >= queueSettings.maxWaiting) {
        return Left(makeFailure(ErrorKind.QueueFull, `queue ${queue} of team ${team} is full`));
      }
      const id = generateJobId(state);
      if (id === undefined)
        return Left(makeFailure(ErrorKind.NotOwner, 'no job partition is loaded here'));
      const submittedAt = state.clock.wallTime();
      const { tasks = 1, estimateMs = defaultEstimateMs, idempotent = true } = request;
      const { checkpoint = false, spread = 'none', across = 'fleet', deadlineMs } = request;
      return Right({
        ...{ id, team, queue, kind: request.kind, tasks, size, estimateMs, idempotent },
        ...{ checkpoint, spread, across, submittedAt, cancel: false, attempts: [] },
        maxAttempts: request.maxAttempts ?? defaultMaxAttempts,
        state: 'waiting',
        reason: 'accepted',
        ...(caller.request === undefined ? {} : { request: caller.request }),
        ...(deadlineMs === undefined ? {} : { deadlineAt: submittedAt + deadlineMs }),
        ...(request.body === undefined ? {} : { body: request.body }),
      });
    });
}

/** Reads the job created by an earlier request with the same id; a different job is a conflict. */
export async function findEarlierJob(state: JobsState, { key, job }: { key: string; job: Job }) {
  const rows = await state.table.read([key]);
  const id = (rows.orDefault([])[0]?.value as { job?: string } | undefined)?.job;
  if (rows.isLeft()) return rows.map((): never => undefined as never);
  if (id === undefined)
    return Left(makeFailure(ErrorKind.TableConflict, 'the job was not accepted'));
  const found: Awaited<Outcome<Job | undefined>> = await state.rows.read(id);
  return found.chain((earlier): Either<Failure, Job> => {
    if (!earlier) return Left(makeFailure(ErrorKind.NotFound, `job ${id} does not exist any more`));
    const { kind, tasks, body } = earlier;
    const isSameRequest =
      JSON.stringify([kind, tasks, body]) === JSON.stringify([job.kind, job.tasks, job.body]);
    if (isSameRequest) return Right(earlier);
    return Left(
      makeFailure(ErrorKind.RequestConflict, `request id was used for another job, ${id}`),
    );
  });
}
