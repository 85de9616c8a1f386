/**
 * The stored record of a job's progress, from which a successor continues without starting a task
 * twice. It is written before the start orders of the runs that it lists are sent.
 */
import { isTerminalState, JobState } from '../model/mod.ts';
import { ensureSteps } from './jobs.ts';
import { allocateRun } from './resource_accounting.ts';
import { makeRun, makeWorker } from './state.ts';
import type { CellState, Job, Step, Task } from './state.ts';

/** A stored run. */
type RunRecord = [worker: string, incarnationStartMs: number, attempt: number];

/** A stored task. Tasks that were never started are left out. */
type TaskRecord = [
  index: number,
  attempt: number,
  failures: number,
  done: 0 | 1,
  checkpoint: string,
  runs: RunRecord[],
];

/** Stored progress of a job. */
export interface JobRecord {
  state: JobState;
  occurrences: [occurrence: number, steps: TaskRecord[][]][];
}

function encodeTask(task: Task, index: number): TaskRecord {
  return [
    index,
    task.attempt,
    task.failures,
    task.isDone ? 1 : 0,
    task.checkpoint,
    task.runs.map(({ workerId, incarnationStartMs, attempt }) => [
      workerId,
      incarnationStartMs,
      attempt,
    ]),
  ];
}

/**
 * Encodes the progress of a job for storage.
 *
 * @example
 * const text = JSON.stringify(encodeProgress(job));
 */
export function encodeProgress(job: Job): JobRecord {
  // Of a job in a terminal state, only the runs that still hold resources matter.
  const isKept: (task: TaskRecord) => boolean = isTerminalState(job.state)
    ? ([, , , , , runs]) => runs.length > 0
    : ([, attempt, , done]) => attempt > 0 || done === 1;
  const occurrences = [...job.occurrences].map(([occurrence, steps]): [number, TaskRecord[][]] => [
    occurrence,
    steps.map(({ tasks }) => tasks.map(encodeTask).filter(isKept)),
  ]);
  return {
    state: job.state,
    occurrences: occurrences.filter(([, steps]) => steps.some((tasks) => tasks.length > 0)),
  };
}

function restoreRuns(
  state: CellState,
  { step, index }: { step: Step; index: number },
  runs: RunRecord[],
  nowMs: number,
): void {
  const task = step.tasks[index]!;
  runs.forEach(([workerId, incarnationStartMs, attempt]) => {
    let worker = state.workers.get(workerId);
    if (!worker) {
      // The worker has left the registry but may still execute its runs.
      worker = makeWorker({
        id: workerId,
        service: '',
        address: '',
        dataCentre: '',
        isDraining: true,
        capacity: { cpu: 0, memoryMb: 0, gpu: 0 },
        labels: [],
        incarnationStartMs,
      });
      worker.isRegistered = false;
      state.workers.set(workerId, worker);
    }
    const run = makeRun({ step, index, attempt, workerId, incarnationStartMs }, nowMs);
    task.runs.push(run);
    allocateRun(state, worker, run);
  });
}

/**
 * Restores the stored progress of a job that was just added.
 *
 * @example
 * restoreProgress(state, job, JSON.parse(row.value) as JobRecord, clock.now());
 */
export function restoreProgress(
  state: CellState,
  job: Job,
  record: JobRecord,
  nowMs: number,
): void {
  job.state = record.state;
  job.storedState = record.state;
  if (job.state !== JobState.Queued) job.wait = undefined;
  if (isTerminalState(job.state)) {
    job.endedAtMs = nowMs;
    state.activeJobs.delete(job);
  }
  record.occurrences.forEach(([occurrence, stepRecords]) => {
    const steps = ensureSteps(job, occurrence);
    stepRecords.forEach((tasks, stepIndex) => {
      const step = steps[stepIndex]!;
      tasks.forEach(([index, attempt, failures, done, checkpoint, runs]) => {
        const task = step.tasks[index]!;
        Object.assign(task, { attempt, failures, checkpoint, isDone: done === 1 });
        if (done === 1) step.remainingTasks -= 1;
        if (done === 1 || failures > 0 || checkpoint !== '') job.hasConfirmedStart = true;
        restoreRuns(state, { step, index }, runs, nowMs);
      });
    });
  });
}
