/**
 * Transitions of jobs: acceptance, starts and ends of runs, cancellation.
 */
import { isTerminalState, JobState, RunEnd } from '../model/mod.ts';
import type { AcceptedJob, EndedRun } from '../model/mod.ts';
import { addToRanges, countInRanges } from './_ranges.ts';
import { computeCriticalPathMs } from './rank.ts';
import { allocateRun, releaseReservation, releaseRun } from './resource_accounting.ts';
import { listAffectedTasks, makeRun, recordCheckpoint } from './state.ts';
import type { CellState, Job, Run, Step, Task, Worker } from './state.ts';
import { makeWait } from './waiting.ts';

/** Maximum number of tasks in the open occurrences of a job, unless a single one has more. */
const maxOpenTasks = 20_000;
/** Delay before a task that did not start, or whose run was lost, is placed again. */
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

/** Returns the steps of an occurrence and creates them on first use. */
export function ensureSteps(job: Job, occurrence: number): Step[] {
  let steps = job.occurrences.get(occurrence);
  if (!steps) {
    steps = makeSteps(job, occurrence);
    job.occurrences.set(occurrence, steps);
  }
  return steps;
}

/** Whether another occurrence may be opened; each keeps its tasks in memory until it is complete. */
export function mayOpenOccurrence({ accepted, occurrences }: Job): boolean {
  const tasks = accepted.spec.steps.reduce((sum, { count }) => sum + count, 0);
  return occurrences.size === 0 || (occurrences.size + 1) * tasks <= maxOpenTasks;
}

/** Returns how many times the steps of a job run. */
export function getOccurrenceCount(job: Job): number {
  return job.accepted.spec.repetition?.count ?? 1;
}

/**
 * Adds a job; a job that is already known stays unchanged.
 *
 * @example
 * addJob(state, accepted, clock.now());
 */
export function addJob(state: CellState, accepted: AcceptedJob, acceptedAtMs: number): Job {
  const existing = state.jobs.get(accepted.id);
  if (existing) return existing;
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
    completedOccurrences: [],
    startedTasks: 0,
    skipUntilMs: -Infinity,
    setAsideUntilMs: -Infinity,
    wait: makeWait(acceptedAtMs),
  };
  state.jobs.set(accepted.id, job);
  state.activeJobs.add(job);
  return job;
}

/** Adds a job of which only the terminal state is known. */
export function addEndedJob(
  state: CellState,
  id: string,
  terminalState: JobState,
  nowMs: number,
): void {
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
  job.storedState = terminalState;
  finishJob(state, job, terminalState, nowMs);
}

function listStepRuns({ tasks }: Step): Run[] {
  const listed: Run[] = [];
  tasks.forEach(({ runs }) => {
    if (runs.length > 0) listed.push(...runs);
  });
  return listed;
}

/** Lists the runs of a job that hold resources. */
export function listRuns(job: Job): Run[] {
  return [...job.occurrences.values()].flat().flatMap(listStepRuns);
}

function finishJob(state: CellState, job: Job, terminalState: JobState, nowMs: number): void {
  job.state = terminalState;
  job.endedAtMs = nowMs;
  state.activeJobs.delete(job);
  job.occurrences.forEach((steps) => steps.forEach((step) => releaseReservation(state, step)));
}

/**
 * Cancels a job and returns its runs, which the caller has to stop. A job in a terminal state stays
 * unchanged.
 *
 * @example
 * const runs = cancelJob(state, job, clock.now());
 */
export function cancelJob(state: CellState, job: Job, nowMs: number): Run[] {
  if (isTerminalState(job.state)) return [];
  finishJob(state, job, JobState.Cancelled, nowMs);
  return listRuns(job);
}

/** Adds a run for the decision to start a task on a worker. */
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
  if (task.attempt === 0) step.job.startedTasks += 1;
  task.attempt = attempt;
  if (step.job.state === JobState.Queued) step.job.state = JobState.Running;
  const run = makeRun(
    {
      step,
      index,
      attempt,
      workerId: worker.entry.id,
      incarnationStartMs: worker.incarnationStartMs,
      hasTicket: step.advice.tickets.has(worker.entry.id),
    },
    nowMs,
  );
  task.runs.push(run);
  allocateRun(state, worker, run);
  return run;
}

function isOccurrenceDone(steps: Step[]): boolean {
  return steps.every(({ remainingTasks }) => remainingTasks === 0);
}

function hasRuns(steps: Step[]): boolean {
  return steps.some(({ tasks }) => tasks.some(({ runs }) => runs.length > 0));
}

/** Drops an occurrence whose tasks are done and of which nothing runs any more. */
function dropOccurrenceIfComplete({ job, occurrence }: Step): void {
  const steps = job.occurrences.get(occurrence);
  if (!steps || !isOccurrenceDone(steps) || hasRuns(steps)) return;
  job.occurrences.delete(occurrence);
  job.completedOccurrences = addToRanges(job.completedOccurrences, occurrence);
}

function completeJobIfDone(state: CellState, job: Job, nowMs: number): void {
  if (isTerminalState(job.state)) return;
  const knownOccurrences = countInRanges(job.completedOccurrences) + job.occurrences.size;
  if (knownOccurrences < getOccurrenceCount(job)) return;
  if ([...job.occurrences.values()].every(isOccurrenceDone)) {
    finishJob(state, job, JobState.Completed, nowMs);
  }
}

function completeTask(step: Step, task: Task): void {
  if (task.isDone || step.spec.longRunning) return;
  task.isDone = true;
  step.remainingTasks -= 1;
  if (task.attempt > 0) step.job.startedTasks -= 1;
}

function recordFailure(run: Run, task: Task, maxAttempts: number): boolean {
  // The failures of several members in one attempt of a gang count once.
  if (task.lastFailedAttempt === run.attempt) return false;
  listAffectedTasks(run).forEach((member) => {
    member.failures += 1;
    member.lastFailedAttempt = run.attempt;
  });
  return !run.step.spec.longRunning && task.failures >= maxAttempts;
}

/** Consequences of the end of a run. */
export interface RunEndEffects {
  /** Runs that are no longer needed. */
  runsToStop: Run[];
}

/**
 * Applies the end of a run to its task and job.
 *
 * @example
 * const { runsToStop } = endRun(state, run, ended, { maxAttempts: 3, nowMs });
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
  // An expired run counts as lost and may never have started.
  if (end !== RunEnd.Expired) job.hasConfirmedStart = true;
  if (isTerminalState(job.state)) return { runsToStop: [] };
  if (end === RunEnd.Done) {
    listAffectedTasks(run).forEach((member) => completeTask(step, member));
    completeJobIfDone(state, job, nowMs);
  }
  dropOccurrenceIfComplete(step);
  // The other members of a gang end on their own.
  if (end === RunEnd.Done) return { runsToStop: step.spec.gang ? [] : task.runs };
  if (end === RunEnd.Expired) task.notBeforeMs = nowMs + retryDelayMs;
  if (end === RunEnd.Failed && recordFailure(run, task, maxAttempts)) {
    finishJob(state, job, JobState.Failed, nowMs);
    return { runsToStop: listRuns(job) };
  }
  // A gang cannot continue without one of its members.
  if (step.spec.gang) return { runsToStop: listStepRuns(step) };
  return { runsToStop: [] };
}

/** Counts the pending jobs, which have no confirmed start, by queue. */
export function countPendingJobs(state: CellState): Map<string, number> {
  const counts = new Map<string, number>();
  state.activeJobs.forEach(({ hasConfirmedStart, accepted }) => {
    if (hasConfirmedStart) return;
    counts.set(accepted.queue, (counts.get(accepted.queue) ?? 0) + 1);
  });
  return counts;
}
