/**
 * Ended tasks: the owner of the worker reports them, and the owner of the job's partition records
 * them.
 */
import { Left, Right } from 'purify-ts';

import { computeRetryDelayMs } from '../decisions/mod.ts';
import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { Ended, EndedAnswer, Job, Write } from '../schema/mod.ts';
import { isActive } from './_attempt_machine.ts';
import { isEnded } from './_job_machine.ts';
import { activeAttempts, findAttempt, isSameAttempt, recordEnd } from './_job_model.ts';
import { partitionOf } from './_job_rows.ts';
import { findPeer, recordReason, updateWaitingWork } from './_job_state.ts';
import type { JobsState } from './_job_state.ts';
import { makeRetryBudget } from '../table/mod.ts';

const maxInlineResultBytes = 64 * 1024;
const minRetryMs = 1_000;
const maxRetryMs = 60_000;

/** Returns the write of a task's result. A large result is first put into the object store. */
async function storeResult(state: JobsState, { task, result }: Ended): Outcome<Write[]> {
  if (result === undefined) return Right([]);
  const text = JSON.stringify(result);
  const key = `results/${task}`;
  if (Buffer.byteLength(text) <= maxInlineResultBytes) return Right([{ key, value: { result } }]);
  const object = `results/${task}`;
  const stored = await state.objects.put(object, Buffer.from(text));
  return stored.map(() => [{ key, value: { object } }]);
}

function delayRetry(state: JobsState, { job, task }: { job: Job; task: string }): void {
  const { clock, random, retryBudgets, settings, placementRetryAt: notBefore } = state;
  const retriesPerMinute = settings.current().policy.retryBudgetPerTeamPerMinute;
  const budget =
    retryBudgets.get(job.team) ??
    makeRetryBudget({
      clock,
      capacity: Math.max(1, retriesPerMinute),
      refillPerSecond: retriesPerMinute / 60,
    });
  retryBudgets.set(job.team, budget);
  const failures = findAttempt(job, task)?.failures ?? 0;
  if (failures === 0) return;
  const backoffMs = computeRetryDelayMs(failures, random, {
    firstMs: minRetryMs,
    maxMs: maxRetryMs,
  });
  // Without a token in the retry budget, the retry waits as long as one takes to refill.
  const budgetDelayMs = budget.take() ? 0 : 60_000 / Math.max(1, retriesPerMinute);
  const at = clock.now() + backoffMs + budgetDelayMs;
  notBefore.set(job.id, Math.max(notBefore.get(job.id) ?? 0, at));
}

async function recordEndedTask(state: JobsState, ended: Ended): Promise<boolean> {
  const { rows, clock, unconfirmedAttempts: doubtful, lastConfirmedOwner: seenOwner } = state;
  const job = rows.get(ended.job);
  const before = job && findAttempt(job, ended.task);
  // The end of an attempt that the job row doesn't hold as active needs no record.
  if (!before || !isSameAttempt(before, ended) || !isActive(before)) {
    if (doubtful.get(ended.task)?.worker === ended.worker) doubtful.delete(ended.task);
    return true;
  }
  const writes = await storeResult(state, ended);
  if (writes.isLeft()) return false;
  const outcome = await rows.update(
    ended.job,
    (current) => recordEnd(current, ended, clock.wallTime()),
    writes.orDefault([]),
  );
  return outcome.caseOf({
    Left: () => false,
    Right(next) {
      doubtful.delete(ended.task);
      seenOwner.delete(ended.task);
      recordReason(
        state,
        next.id,
        `${ended.task} ${ended.state}${ended.message ? `: ${ended.message}` : ''}`,
      );
      if (!isEnded(next)) delayRetry(state, { job: next, task: ended.task });
      else if (activeAttempts(next).length === 0) state.placementRetryAt.delete(next.id);
      updateWaitingWork(state, next);
      return true;
    },
  });
}

/** Records ended tasks of the partitions owned here. The response lists the recorded tasks. */
export async function recordEnded(state: JobsState, endedTasks: Ended[]): Outcome<EndedAnswer> {
  const ownEnded = endedTasks.filter(({ job }) => state.rows.owns(job));
  if (ownEnded.length === 0 && endedTasks.length > 0) {
    const failure: Failure = makeFailure(
      ErrorKind.NotOwner,
      'no partition of these jobs is loaded here',
    );
    return Left(failure);
  }
  const isRecorded = await Promise.all(ownEnded.map((ended) => recordEndedTask(state, ended)));
  return Right({ recorded: ownEnded.flatMap(({ task }, i) => (isRecorded[i] ? [task] : [])) });
}

/** Reports ended tasks of this process's workers to the owners of their jobs' partitions. */
export async function reportEnded(state: JobsState, endedTasks: Ended[]): Promise<void> {
  const { ownership, membership, pool } = state;
  const byOwner = new Map<string, Ended[]>();
  endedTasks.forEach((ended) => {
    const owner = ownership.ownerOfPartition(partitionOf(ended.job)) ?? '';
    byOwner.set(owner, [...(byOwner.get(owner) ?? []), ended]);
  });
  await Promise.all(
    [...byOwner].map(async ([owner, ownerTasks]) => {
      const response =
        owner === membership.id()
          ? await recordEnded(state, ownerTasks)
          : await findPeer(state, owner)?.ended({ ended: ownerTasks });
      // The pool reports tasks again until they are acknowledged.
      const recorded = response?.toMaybe().extract()?.recorded ?? [];
      pool.acknowledge(recorded);
      const unrecorded = ownerTasks.filter(({ task }) => !recorded.includes(task));
      ownership.recheck({ partitions: unrecorded.map(({ job }) => partitionOf(job)) });
    }),
  );
}
