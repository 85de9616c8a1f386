/**
 * The job dispatcher of a process: submits, reads and cancels batch jobs, gangs and services, and
 * handles the messages that peers send about jobs.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { Peer } from '../peers/mod.ts';
import type { Job, JobRequest, Row } from '../schema/mod.ts';
import { recordEnded, reportEnded } from './_ending.ts';
import { makeHolds } from './_holds.ts';
import { activeAttempts, recordCancel, taskId } from './_job_model.ts';
import { makeJobRows, partitionOf } from './_job_rows.ts';
import { findPeer, recordReason, updateWaitingWork } from './_job_state.ts';
import type { JobOptions, JobsState } from './_job_state.ts';
import { runRound } from './_rounds.ts';
import { submit, submitForwarded } from './_submissions.ts';
import { runUpkeep } from './_upkeep.ts';
import type { Caller, Explanation } from './dispatch.ts';

/** The job dispatcher of a process, for callers and for peers. */
export interface Jobs {
  submit(caller: Caller, request: JobRequest): Outcome<Job>;
  job(team: string, id: string): Outcome<Job>;
  result(team: string, id: string): Outcome<unknown>;
  cancel(team: string, id: string): Outcome<Job>;
  jobs(filter: { team?: string; state?: string }): Job[];
  explain(id: string): Explanation | undefined;
  /** Handlers of the messages that peers send about jobs. */
  handlers: Pick<Peer, 'submit' | 'hold' | 'commit' | 'release' | 'stop' | 'attempt' | 'ended'>;
  dump(): unknown;
  close(): void;
}

const roundDelayMs = 5;
const cancelBatchMs = 20;
const maxCancelTries = 3;
// Rows are reread once a second; after this delay, a new owner is normally known.
const recheckDelayMs = 1_200;

async function findJob(state: JobsState, { team, id }: { team: string; id: string }): Outcome<Job> {
  const ownJob = state.rows.get(id);
  const found: Either<Failure, Job | undefined> = ownJob
    ? Right(ownJob)
    : await state.rows.read(id);
  return found.chain((job) =>
    job?.team === team
      ? Right(job)
      : Left(makeFailure(ErrorKind.NotFound, `team has no job ${id}`)),
  );
}

async function readTaskResult(state: JobsState, row: Row | undefined): Outcome<unknown> {
  const { result, object } = (row?.value ?? {}) as { result?: unknown; object?: string };
  if (object === undefined) return Right(result);
  const bytes = await state.objects.get(object);
  return bytes.chain((found) =>
    found
      ? Right(JSON.parse(Buffer.from(found).toString('utf8')) as unknown)
      : Left(makeFailure(ErrorKind.ObjectUnavailable, `object ${object} is not there`)),
  );
}

async function readJobResult(
  state: JobsState,
  query: { team: string; id: string },
): Outcome<unknown> {
  const found = await findJob(state, query);
  const job = found.toMaybe().extract();
  if (!job) return found;
  if (job.state !== 'finished') {
    return Left(makeFailure(ErrorKind.NotFound, `job ${job.id} has no result`, { got: job.state }));
  }
  const keys = Array.from({ length: job.tasks }, (_, i) => `results/${taskId(job.id, i)}`);
  const rows = await state.table.read(keys);
  if (rows.isLeft()) return rows;
  const rowsByKey = new Map(rows.orDefault([]).map((row) => [row.key, row]));
  const results = await Promise.all(keys.map((key) => readTaskResult(state, rowsByKey.get(key))));
  const failedResult = results.find((one) => one.isLeft());
  if (failedResult) return failedResult;
  const values = results.map((one) => one.orDefault(undefined));
  return Right(job.tasks === 1 ? values[0] : values);
}

async function cancelOwned(state: JobsState, id: string): Outcome<Job> {
  if (state.rows.owns(id) && !state.rows.get(id)) {
    const ended = await state.rows.read(id);
    return ended.chain((job) =>
      job ? Right(job) : Left(makeFailure(ErrorKind.NotFound, `there is no job ${id}`)),
    );
  }
  const done = await state.rows.update(id, (job) => recordCancel(job, state.clock.wallTime()));
  return done.ifRight((job) => {
    state.waiting.remove(id);
    if (job.cancel) recordReason(state, id, 'cancelled');
  });
}

/** Batches cancellations of jobs in other members' partitions into one message per member. */
function makeRemoteCancel(state: JobsState) {
  const batches = new Map<string, { ids: Set<string>; sent: Outcome<void> }>();
  return (owner: string, id: string): Outcome<void> => {
    const batch = batches.get(owner);
    if (batch) {
      batch.ids.add(id);
      return batch.sent;
    }
    const ids = new Set([id]);
    const send = async (): Outcome<void> => {
      await state.clock.sleep(cancelBatchMs);
      batches.delete(owner);
      const member = findPeer(state, owner);
      if (!member)
        return Left(makeFailure(ErrorKind.NotOwner, 'the partition of the job has no owner now'));
      return member.stop({ tasks: [], mode: 'stop', jobs: [...ids] });
    };
    const sent = send();
    batches.set(owner, { ids, sent });
    return sent;
  };
}

/** Cancels a job in another member's partition. After a failure, its owner is reread. */
async function cancelRemote(
  state: JobsState,
  {
    team,
    id,
    send,
  }: { team: string; id: string; send: (owner: string, id: string) => Outcome<void> },
): Outcome<Job> {
  const { ownership, clock } = state;
  const partition = partitionOf(id);
  for (let tries = 1; ; tries++) {
    const sent = await send(ownership.ownerOfPartition(partition) ?? '', id);
    if (sent.isRight()) return findJob(state, { team, id });
    if (tries === maxCancelTries) return sent.map((): never => undefined as never);
    ownership.recheck({ partitions: [partition] });
    await clock.sleep(recheckDelayMs);
  }
}

function makeState(parts: JobOptions): JobsState {
  const { clock, membership, table, writer, log } = parts;
  let isRoundDue = false;
  const state: JobsState = {
    ...parts,
    rows: makeJobRows({
      ...{ clock, table, writer, log, memberId: () => membership.id() },
      onJobLoaded(job) {
        activeAttempts(job).forEach(({ task, attempt, worker }) =>
          state.unconfirmedAttempts.set(task, { job: job.id, attempt, worker }),
        );
        updateWaitingWork(state, job);
      },
    }),
    holds: makeHolds(parts),
    placing: new Set(),
    placementRetryAt: new Map(),
    remoteRetryAt: new Map(),
    respreadAfter: new Map(),
    feasibility: new Map(),
    kept: undefined,
    refusals: new Map(),
    unconfirmedAttempts: new Map(),
    lastConfirmedOwner: new Map(),
    retryBudgets: new Map(),
    reasons: new Map(),
    requestRound() {
      if (isRoundDue) return;
      isRoundDue = true;
      clock
        .sleep(roundDelayMs)
        .then(() => {
          isRoundDue = false;
          runRound(state);
        })
        .catch((error: unknown) =>
          log.error('A scheduling round failed.', { error: String(error) }),
        );
    },
    closeController: new AbortController(),
  };
  return state;
}

function releasePartition(state: JobsState, partition: number): void {
  state.rows.all().forEach(({ id }) => {
    if (partitionOf(id) === partition) state.waiting.remove(id);
  });
  state.rows.release(partition);
}

/**
 * Creates the job dispatcher of a process.
 *
 * @example
 * const jobs = makeJobs({ clock, random, pool, peers, peerChoice, table, writer, objects, membership,
 *   settings, limits, ownership, waiting, usage, invariants, log, metrics });
 * await jobs.submit({ team: 'millers', queue: 'night' }, { kind: 'batch', tasks: 4 });
 */
export function makeJobs(parts: JobOptions): Jobs {
  const state = makeState(parts);
  const { pool, ownership, log, rows, holds, waiting } = state;
  const remoteCancel = makeRemoteCancel(state);
  const logFailure = (error: unknown) =>
    log.error('A background operation on jobs failed.', { error: String(error) });
  const acquire = (partition: number) => rows.acquire(partition).catch(logFailure);
  ownership.subscribe({
    acquired: () => undefined,
    released: () => undefined,
    partitionAcquired: acquire,
    partitionReleased: (partition) => releasePartition(state, partition),
  });
  ownership.partitions().forEach(acquire);
  pool.onEnded((ended) => {
    reportEnded(state, ended).catch(logFailure);
  });
  pool.onCapacityFreed(state.requestRound);
  runUpkeep(state).catch(logFailure);

  return {
    submit: (caller, request) => submit(state, { caller, request }),
    job: (team, id) => findJob(state, { team, id }),
    result: (team, id) => readJobResult(state, { team, id }),
    async cancel(team, id) {
      const found = await findJob(state, { team, id });
      if (found.isLeft()) return found;
      if (rows.owns(id)) return cancelOwned(state, id);
      return cancelRemote(state, { team, id, send: remoteCancel });
    },
    jobs: ({ team, state: wanted }) =>
      rows
        .all()
        .filter((job) => (team ?? job.team) === job.team && (wanted ?? job.state) === job.state),
    explain(id) {
      const job = rows.get(id);
      if (!job) return undefined;
      const waitReason = waiting.explain(id, state.clock.now());
      const currentReasons =
        waitReason === undefined ? [] : [{ at: state.clock.wallTime(), text: waitReason }];
      return {
        id,
        state: job.state,
        reasons: [...(state.reasons.get(id) ?? []), ...currentReasons],
      };
    },
    handlers: {
      ...holds,
      submit: (request) => submitForwarded(state, request),
      hold: async (request) => holds.hold(request),
      async stop(request) {
        const cancelled = await Promise.all(
          (request.jobs ?? []).map((id) => cancelOwned(state, id)),
        );
        const failedCancel = cancelled.find((one) => one.isLeft());
        if (failedCancel) return failedCancel.map(() => undefined);
        return request.tasks.length > 0 ? holds.stop(request) : Right(undefined);
      },
      ended: ({ ended }) => recordEnded(state, ended),
    },
    dump: () => ({
      partitions: rows.partitions(),
      jobs: rows.all().length,
      waiting: waiting.size(),
      placing: [...state.placing],
      doubtful: [...state.unconfirmedAttempts.keys()],
      holds: holds.size(),
    }),
    close: () => state.closeController.abort(),
  };
}
