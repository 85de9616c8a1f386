/**
 * Changes of jobs: acceptance, starts, ends, cancellation.
 */
import { isTerminalState, JobState, RunEnd } from '../model/mod.ts';
import type { AcceptedJob, EndedRun } from '../model/mod.ts';
import { computeCriticalPathMs } from './rank.ts';
import { releaseRun, allocateRun } from './resource_accounting.ts';
import { recordCheckpoint, makeRun, listAffectedTasks } from './state.ts';
import type { CellState, Job, Run, Step, Task, Worker } from './state.ts';
import { makeWait } from './waiting.ts';

/** Delay before a task is placed again that did not start, or whose run was lost. */
const retryDelayMs = 50;

function makeTask(): Task {
  return { attempt: 0, failures: 0, lastFailedAttempt: 0, isDone: false, checkpoint: '', runs: [] };
}

function makeSteps(job: Job, occurrence: number): Step[] {
  return job.accepted.spec.steps.map((spec, index) => ({
    job,
    occurrence,
    index,
    spec,
    tasks: Array.from({ length: spec.count }, makeTask),
    remainingTasks: spec.count,
    lastTriedAtMs: -Infinity,
    objectiveStartMs: job.acceptedAtMs,
    advice: {
      asked: new Map(),
      allowed: new Map(),
      tickets: new Map(),
      isPending: false,
      notBeforeMs: 0,
    },
  }));
}

/** The steps of an occurrence, made at their first use. */
export function ensureSteps(job: Job, occurrence: number): Step[] {
  let steps = job.occurrences.get(occurrence);
  if (!steps) {
    steps = makeSteps(job, occurrence);
    job.occurrences.set(occurrence, steps);
  }
  return steps;
}

/** Number of times that the steps of a job run. */
export function getOccurrenceCount(job: Job): number {
  return job.accepted.spec.repetition?.count ?? 1;
}

/**
 * Adds a job; a job that is known already stays as it is.
 *
 * @example
 * addJob(state, accepted, clock.now());
 */
export function addJob(state: CellState, accepted: AcceptedJob, acceptedAtMs: number): Job {
  const known = state.jobs.get(accepted.id);
  if (known) return known;
  const job: Job = {
    accepted,
    acceptedAtMs,
    state: JobState.Queued,
    storedState: JobState.Queued,
    hasConfirmedStart: false,
    hasEntryRows: false,
    criticalPathMs: computeCriticalPathMs(accepted.spec.steps),
    millicoreMs: accepted.spec.steps.reduce(
      (sum, { count, need, estimatedMs }) => sum + count * need.cpu * estimatedMs,
      0,
    ),
    occurrences: new Map(),
    skipUntilMs: -Infinity,
    wait: makeWait(acceptedAtMs),
  };
  state.jobs.set(accepted.id, job);
  state.activeJobs.add(job);
  return job;
}

/** Adds a job of which only its end is known. */
export function addEndedJob(state: CellState, id: string, final: JobState, nowMs: number): void {
  const job = addJob(
    state,
    {
      id,
      queue: '',
      organisation: '',
      service: '',
      acceptedAtMs: 0,
      terms: { priority: 0, maxAttempts: 0, targetFactor: 0, targetLatencyMs: 0 },
      spec: { payload: '', steps: [] },
    },
    nowMs,
  );
  job.storedState = final;
  finishJob(state, job, final, nowMs);
}

/** The runs of a job that take room. */
export function listRuns(job: Job): Run[] {
  return [...job.occurrences.values()].flat().flatMap((step) => step.tasks.flatMap((t) => t.runs));
}

function finishJob(state: CellState, job: Job, final: JobState, nowMs: number): void {
  job.state = final;
  job.endedAtMs = nowMs;
  state.activeJobs.delete(job);
}

/**
 * Cancels a job and returns its runs, which are to be stopped; a job that ended stays as it is.
 *
 * @example
 * const runs = cancelJob(state, job, clock.now());
 */
export function cancelJob(state: CellState, job: Job, nowMs: number): Run[] {
  if (isTerminalState(job.state)) return [];
  finishJob(state, job, JobState.Cancelled, nowMs);
  return listRuns(job);
}

/** Records the decision to start a task on a worker. */
export function addRun(
  state: CellState,
  {
    step,
    index,
    worker,
    attempt,
    nowMs,
  }: {
    step: Step;
    index: number;
    worker: Worker;
    attempt: number;
    nowMs: number;
  },
): Run {
  const task = step.tasks[index]!;
  task.attempt = attempt;
  if (step.job.state === JobState.Queued) step.job.state = JobState.Running;
  const run = makeRun(
    {
      step,
      index,
      attempt,
      workerId: worker.entry.id,
      incarnationStartMs: worker.incarnationStartMs,
    },
    nowMs,
  );
  task.runs.push(run);
  allocateRun(state, worker, run);
  return run;
}

function completeJobIfDone(state: CellState, job: Job, nowMs: number): void {
  if (isTerminalState(job.state)) return;
  if (job.occurrences.size < getOccurrenceCount(job)) return;
  const steps = [...job.occurrences.values()].flat();
  if (steps.every(({ remainingTasks }) => remainingTasks === 0)) {
    finishJob(state, job, JobState.Completed, nowMs);
  }
}

function completeTask(step: Step, task: Task): void {
  if (task.isDone || step.spec.longRunning) return;
  task.isDone = true;
  step.remainingTasks -= 1;
}

function recordFailure(run: Run, task: Task, maxAttempts: number): boolean {
  // One failed end of a gang's attempt stands for all its members.
  if (task.lastFailedAttempt === run.attempt) return false;
  listAffectedTasks(run).forEach((member) => {
    member.failures += 1;
    member.lastFailedAttempt = run.attempt;
  });
  return !run.step.spec.longRunning && task.failures >= maxAttempts;
}

/** What follows from the end of a run. */
export interface RunEndEffects {
  /** Runs that have become pointless. */
  runsToStop: Run[];
}

/**
 * Takes note of the end of a run.
 *
 * @example
 * const { toStop } = endRun(state, run, { end: 'done', checkpoint: '' }, { maxAttempts: 3, nowMs });
 */
export function endRun(
  state: CellState,
  run: Run,
  { end, checkpoint }: Pick<EndedRun, 'end' | 'checkpoint'>,
  { maxAttempts, nowMs }: { maxAttempts: number; nowMs: number },
): RunEndEffects {
  const { step, index } = run;
  const { job } = step;
  const task = step.tasks[index]!;
  releaseRun(state, run);
  task.runs = task.runs.filter((other) => other !== run);
  recordCheckpoint(run, checkpoint);
  // A run that is taken as lost may never have started.
  if (end !== RunEnd.Expired) job.hasConfirmedStart = true;
  if (isTerminalState(job.state)) return { runsToStop: [] };
  if (end === RunEnd.Done) {
    listAffectedTasks(run).forEach((member) => completeTask(step, member));
    completeJobIfDone(state, job, nowMs);
    // The other members of a gang end by themselves.
    return { runsToStop: step.spec.gang ? [] : task.runs };
  }
  if (end === RunEnd.Expired) task.notBeforeMs = nowMs + retryDelayMs;
  if (end === RunEnd.Failed && recordFailure(run, task, maxAttempts)) {
    finishJob(state, job, JobState.Failed, nowMs);
    return { runsToStop: listRuns(job) };
  }
  // A gang cannot go on without a member.
  if (step.spec.gang) return { runsToStop: step.tasks.flatMap(({ runs }) => runs) };
  return { runsToStop: [] };
}

/** Jobs of each queue of which no task has started. */
export function countPendingJobs(state: CellState): Map<string, number> {
  const counts = new Map<string, number>();
  state.activeJobs.forEach(({ hasConfirmedStart, accepted }) => {
    if (hasConfirmedStart) return;
    counts.set(accepted.queue, (counts.get(accepted.queue) ?? 0) + 1);
  });
  return counts;
}
