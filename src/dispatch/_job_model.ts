/**
 * Pure functions on jobs: which tasks are waiting, and how recorded attempts and their ends change
 * a job.
 */
import type { Fleet } from '../settings/mod.ts';
import type { Attempt, Ended, Job, Need, Place } from '../schema/mod.ts';
import { AttemptEvent, isActive, nextAttemptState } from './_attempt_machine.ts';
import { JobEvent, isEnded, nextJobState } from './_job_machine.ts';

export const taskId = (job: string, index: number) => `${job}.${index}`;

export function findAttempt(
  { attempts }: Pick<Job, 'attempts'>,
  task: string,
): Attempt | undefined {
  return attempts.find((attempt) => attempt.task === task);
}

export function activeAttempts({ attempts }: Pick<Job, 'attempts'>): Attempt[] {
  return attempts.filter(isActive);
}

/** Returns task ids for the missing replicas of a service; any unused ids will do. */
function findWaitingReplicas(job: Job): string[] {
  const active = new Set(activeAttempts(job).map(({ task }) => task));
  const ids = Array.from({ length: job.tasks + active.size }, (_, i) => taskId(job.id, i));
  return ids.filter((task) => !active.has(task)).slice(0, Math.max(0, job.tasks - active.size));
}

/** Returns the tasks without an active or finished attempt. A gang is repeated as a whole. */
export function waitingTasks(job: Job): string[] {
  if (isEnded(job)) return [];
  if (job.kind === 'service') return findWaitingReplicas(job);
  const attemptsByTask = new Map(job.attempts.map((attempt) => [attempt.task, attempt]));
  const ids = Array.from({ length: job.tasks }, (_, i) => taskId(job.id, i));
  const unfinishedTasks = ids.filter((task) => {
    const attempt = attemptsByTask.get(task);
    return !attempt || (!isActive(attempt) && attempt.state !== 'finished');
  });
  return job.kind === 'gang' && unfinishedTasks.length > 0 ? ids : unfinishedTasks;
}

/** Returns the data centres that the job's queue is restricted to, or undefined for all. */
export function allowedDataCentres({ team, queue }: Job, fleet: Fleet): string[] | undefined {
  const { dataCentres = [] } = fleet.teams[team]?.queues[queue] ?? {};
  return dataCentres.length > 0 ? dataCentres : undefined;
}

/** Returns the placement requirements of one task of a job. */
export function needOf(job: Job, options: { wall: number; fleet: Fleet }): Need {
  const { team, queue, kind, size, estimateMs, spread, across, deadlineAt, submittedAt } = job;
  const onlyDataCentres = allowedDataCentres(job, options.fleet);
  return {
    ...{ team, queue, kind, size, estimateMs, spread, across },
    ...(onlyDataCentres ? { onlyDataCentres } : {}),
    waitedMs: Math.max(0, options.wall - submittedAt),
    ...(deadlineAt === undefined ? {} : { deadlineMs: deadlineAt - options.wall }),
  };
}

/** Assigns tasks to held places and returns the next attempt of each. */
export function planAttempts(job: Job, { tasks, places }: { tasks: string[]; places: Place[] }) {
  return places.flatMap(({ worker, epoch }, i): Attempt[] => {
    const task = tasks[i];
    if (task === undefined) return [];
    const previous = findAttempt(job, task);
    const { failures } = previous ?? {};
    return [
      {
        ...{
          task,
          attempt: (previous?.attempt ?? 0) + 1,
          worker,
          epoch,
          state: 'starting' as const,
        },
        ...(failures === undefined ? {} : { failures }),
      },
    ];
  });
}

/**
 * Adds attempts to a job before they are started. Returns undefined when the job has ended or is
 * cancelled, a task has another active attempt, or a later attempt or one of the same number on
 * another worker is recorded, possibly by an earlier write whose outcome was unknown.
 */
export function recordAttempts(job: Job, attempts: Attempt[]): Job | undefined {
  const isStale = attempts.some(({ task, attempt, worker, epoch }) => {
    const known = findAttempt(job, task);
    if (!known || known.attempt < attempt) return known !== undefined && isActive(known);
    return known.attempt > attempt || known.worker !== worker || known.epoch !== epoch;
  });
  if (isEnded(job) || job.cancel || isStale) return undefined;
  const tasks = new Set(attempts.map(({ task }) => task));
  return {
    ...job,
    state: nextJobState(job.state, JobEvent.Start),
    reason: 'tasks are running',
    attempts: [...job.attempts.filter(({ task }) => !tasks.has(task)), ...attempts],
  };
}

/** Compares number and worker: after a refused record, a number may be reused on another worker. */
export function isSameAttempt(
  { attempt, worker }: Attempt,
  other: Pick<Ended, 'attempt' | 'worker'>,
): boolean {
  return attempt === other.attempt && worker === other.worker;
}

const endEvents: Record<Ended['state'], AttemptEvent> = {
  finished: AttemptEvent.Finish,
  failed: AttemptEvent.Fail,
  stopped: AttemptEvent.Stop,
  lost: AttemptEvent.Lose,
};

/** Returns why the end of an attempt fails the whole job, or undefined if the job can continue. */
function findFailReason(job: Job, { failures = 0, state, message }: Attempt): string | undefined {
  if (job.kind === 'service') return undefined;
  if (state !== 'finished' && !job.idempotent && !(job.checkpoint && state === 'stopped')) {
    return `an attempt ended as ${state} and the job is not idempotent, so it isn't repeated`;
  }
  if (failures >= job.maxAttempts) {
    return `a task failed ${failures} times: ${message ?? state}`;
  }
  return undefined;
}

/** Applies the end of an attempt. Returns undefined when there is no such active attempt. */
export function recordEnd(
  job: Job,
  ended: Pick<Ended, 'task' | 'attempt' | 'worker' | 'state' | 'message'> & { neverRan?: boolean },
  wall: number,
): Job | undefined {
  const before = findAttempt(job, ended.task);
  if (!before || !isSameAttempt(before, ended) || !isActive(before)) return undefined;
  const isFailure = ended.state === 'failed' || ended.state === 'lost';
  const { message } = ended;
  const after: Attempt = {
    ...before,
    state: nextAttemptState(before.state, endEvents[ended.state]),
    ...(message === undefined ? {} : { message }),
    ...(isFailure ? { failures: (before.failures ?? 0) + 1 } : {}),
  };
  const next = { ...job, attempts: job.attempts.map((one) => (one === before ? after : one)) };
  if (isEnded(job)) return next;
  const reason = ended.neverRan ? undefined : findFailReason(job, after);
  if (reason !== undefined) {
    return { ...next, state: nextJobState(job.state, JobEvent.Fail), reason, endedAt: wall };
  }
  const waiting = waitingTasks(next);
  if (waiting.length > 0) {
    const isIdle = activeAttempts(next).length === 0;
    const state = isIdle ? nextJobState(job.state, JobEvent.Wait) : job.state;
    return { ...next, state, reason: `${waiting.length} tasks wait for another attempt` };
  }
  if (activeAttempts(next).length > 0) return next;
  const state = nextJobState(job.state, JobEvent.Finish);
  return { ...next, state, reason: 'all tasks have finished', endedAt: wall };
}

/** Cancels a job. Returns undefined when it has already ended. */
export function recordCancel(job: Job, wall: number): Job | undefined {
  if (isEnded(job)) return undefined;
  const state = nextJobState(job.state, JobEvent.Cancel);
  return { ...job, cancel: true, state, reason: 'cancelled by the caller', endedAt: wall };
}

/** Fails a job that can no longer be placed. Returns undefined if it is running or has ended. */
export function recordInfeasible(
  job: Job,
  { reason, wall }: { reason: string; wall: number },
): Job | undefined {
  if (isEnded(job) || activeAttempts(job).length > 0) return undefined;
  return { ...job, state: nextJobState(job.state, JobEvent.Fail), reason, endedAt: wall };
}
