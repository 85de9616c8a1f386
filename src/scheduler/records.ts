/**
 * The durable record of a job's progress: what a successor needs to go on without starting a task
 * twice. Written before the starts that it lists are ordered.
 */
import type { JobState } from '../model/mod.ts';
import { isFinal } from '../model/mod.ts';
import { stepsOf } from './jobs.ts';
import { reserveRun } from './rooms.ts';
import { makeWorker, RunPhase } from './state.ts';
import type { CellState, Job, Task } from './state.ts';

/** A run: worker, incarnation, attempt. */
type RunRecord = [worker: string, bornMs: number, attempt: number];

/** A task: number, attempt, failures, done, checkpoint, runs. Tasks never started are left out. */
type TaskRecord = [
  index: number,
  attempt: number,
  failures: number,
  done: 0 | 1,
  checkpoint: string,
  runs: RunRecord[],
];

/** Progress of a job; steps by occurrence. */
export interface JobRecord {
  state: JobState;
  /** Wall-clock time of the final state, in milliseconds since 1970. */
  endedAtMs?: number;
  occurrences: [occurrence: number, steps: TaskRecord[][]][];
}

function encodeTask(task: Task, index: number): TaskRecord {
  return [
    index,
    task.attempt,
    task.failures,
    task.done ? 1 : 0,
    task.checkpoint,
    task.runs.map(({ workerId, bornMs, attempt }) => [workerId, bornMs, attempt]),
  ];
}

/**
 * Encodes the progress of a job.
 *
 * @example
 * const text = JSON.stringify(encodeProgress(job, Date.now()));
 */
export function encodeProgress(job: Job, wallMs: number): JobRecord {
  if (isFinal(job.state)) {
    const left = [...job.occurrences].map(([k, steps]): [number, TaskRecord[][]] => [
      k,
      // Only runs that still take room matter for an ended job.
      steps.map(({ tasks }) => tasks.map(encodeTask).filter(([, , , , , runs]) => runs.length > 0)),
    ]);
    return {
      state: job.state,
      endedAtMs: wallMs,
      occurrences: left.filter(([, steps]) => steps.some((tasks) => tasks.length > 0)),
    };
  }
  return {
    state: job.state,
    occurrences: [...job.occurrences].map(([k, steps]) => [
      k,
      steps.map(({ tasks }) =>
        tasks.map(encodeTask).filter(([, attempt, , done]) => attempt > 0 || done),
      ),
    ]),
  };
}

function restoreRuns(state: CellState, task: Task, runs: RunRecord[], place: Place): void {
  runs.forEach(([workerId, bornMs, attempt]) => {
    let worker = state.workers.get(workerId);
    if (!worker) {
      // The worker has left the registry, but may still run what it was told to.
      worker = makeWorker({
        id: workerId,
        service: '',
        address: '',
        dataCentre: '',
        draining: true,
        capacity: { cpu: 0, memoryMb: 0, gpu: 0 },
        labels: [],
        bornMs,
      });
      worker.isRegistered = false;
      state.workers.set(workerId, worker);
    }
    const run = {
      ...place,
      attempt,
      workerId,
      bornMs,
      phase: RunPhase.Ordered,
      orderedAtMs: place.nowMs,
      percent: 0,
      progressAtMs: place.nowMs,
      unsettled: false,
    };
    task.runs.push(run);
    reserveRun(state, worker, run);
  });
}

interface Place {
  step: ReturnType<typeof stepsOf>[number];
  index: number;
  nowMs: number;
}

/**
 * Restores the progress of a job that has just been added.
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
  if (isFinal(job.state)) {
    job.endedAtMs = nowMs;
    state.active.delete(job);
  }
  record.occurrences.forEach(([k, stepRecords]) => {
    const steps = stepsOf(job, k);
    stepRecords.forEach((tasks, stepIndex) => {
      const step = steps[stepIndex]!;
      tasks.forEach(([index, attempt, failures, done, checkpoint, runs]) => {
        const task = step.tasks[index]!;
        Object.assign(task, { attempt, failures, checkpoint, done: done === 1 });
        if (done === 1) step.remaining -= 1;
        restoreRuns(state, task, runs, { step, index, nowMs });
      });
    });
  });
}
