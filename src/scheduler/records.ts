/**
 * The stored record of a job's progress, from which a successor continues without starting a task
 * twice. It is written before the start orders of the runs that it lists are sent.
 *
 * Its size depends on the tasks that are started and not done, whatever the size of the job: done tasks
 * and complete occurrences, which never start again, are stored as ranges.
 */
import { isTerminalState, JobState } from '../model/mod.ts';
import { ensureSteps } from './jobs.ts';
import { areRanges, extendRanges, forEachInRanges } from './_ranges.ts';
import type { NumberRange } from './_ranges.ts';
import { allocateRun } from './resource_accounting.ts';
import { makeRun, makeWorker, RunPhase } from './state.ts';
import type { CellState, Job, Run, Step, Task } from './state.ts';

/** A stored run; the last field is there if its start order may be carried out late. */
type RunRecord =
  | [worker: string, incarnationStartMs: number, attempt: number]
  | [worker: string, incarnationStartMs: number, attempt: number, mayStartLate: 1];

/**
 * A stored task. Tasks that were never started, and done tasks without runs, are left out. The last
 * field, of a task that has failed, is missing in rows of former versions.
 */
type TaskRecord = [
  index: number,
  attempt: number,
  failures: number,
  done: 0 | 1,
  checkpoint: string,
  runs: RunRecord[],
  lastFailedAttempt?: number,
];

/** A stored occurrence that is not complete; `done` has the indexes of done tasks without runs. */
type OccurrenceRecord = [occurrence: number, steps: TaskRecord[][], done?: NumberRange[][]];

/** Stored progress of a job. */
export interface JobRecord {
  state: JobState;
  /** Complete occurrences. */
  completed?: NumberRange[];
  occurrences: OccurrenceRecord[];
}

/** Checkpoints of a job are stored up to this total size; without one a lost run starts over. */
const maxCheckpointBytes = 150_000;

function encodeRun(run: Run): RunRecord {
  const { workerId, incarnationStartMs, attempt, hasTicket, phase, lateStartUntilMs } = run;
  // The order of a run that waits for its decision to be stored is sent without another write.
  const mayStartLate = lateStartUntilMs > -Infinity || (phase === RunPhase.Ordered && !hasTicket);
  const record: RunRecord = [workerId, incarnationStartMs, attempt];
  return mayStartLate ? [...record, 1] : record;
}

function encodeTask(task: Task, index: number): TaskRecord {
  const runs = task.runs.map(encodeRun);
  return [
    index,
    task.attempt,
    task.failures,
    task.isDone ? 1 : 0,
    task.checkpoint,
    runs,
    ...(task.failures > 0 ? ([task.lastFailedAttempt] as const) : ([] as const)),
  ];
}

/** The tasks of a step as stored: one by one, and as ranges. */
interface StepRecord {
  tasks: TaskRecord[];
  done: NumberRange[];
}

function encodeStep({ tasks }: Step): StepRecord {
  const record: StepRecord = { tasks: [], done: [] };
  tasks.forEach((task, index) => {
    if (task.isDone && task.runs.length === 0) extendRanges(record.done, index);
    else if (task.attempt > 0) record.tasks.push(encodeTask(task, index));
  });
  return record;
}

/** Leaves out the checkpoints that exceed the total size that is stored. */
function limitCheckpoints(occurrences: OccurrenceRecord[]): void {
  let totalBytes = 0;
  function limitCheckpoint(record: TaskRecord): void {
    if (record[4] === '') return;
    const bytes = Buffer.byteLength(JSON.stringify(record[4]));
    if (totalBytes + bytes > maxCheckpointBytes) record[4] = '';
    else totalBytes += bytes;
  }
  occurrences.forEach(([, steps]) => steps.forEach((tasks) => tasks.forEach(limitCheckpoint)));
}

function encodeOpenOccurrences({ occurrences }: Job): OccurrenceRecord[] {
  const records: OccurrenceRecord[] = [];
  occurrences.forEach((steps, occurrence) => {
    const stepRecords = steps.map(encodeStep);
    const tasks = stepRecords.map((record) => record.tasks);
    const done = stepRecords.map((record) => record.done);
    if (done.some((ranges) => ranges.length > 0)) records.push([occurrence, tasks, done]);
    else if (tasks.some(({ length }) => length > 0)) records.push([occurrence, tasks]);
  });
  return records;
}

/** Encodes the runs of a job in a terminal state that still hold resources; nothing else matters. */
function encodeRemainingRuns({ occurrences }: Job): OccurrenceRecord[] {
  const records: OccurrenceRecord[] = [];
  occurrences.forEach((steps, occurrence) => {
    const hasRuns = ([, , , , , runs]: TaskRecord) => runs.length > 0;
    const tasks = steps.map((step) => encodeStep(step).tasks.filter(hasRuns));
    if (tasks.some(({ length }) => length > 0)) records.push([occurrence, tasks]);
  });
  return records;
}

/**
 * Encodes the progress of a job for storage.
 *
 * @example
 * const text = JSON.stringify(encodeProgress(job));
 */
export function encodeProgress(job: Job): JobRecord {
  const hasEnded = isTerminalState(job.state);
  const occurrences = hasEnded ? encodeRemainingRuns(job) : encodeOpenOccurrences(job);
  limitCheckpoints(occurrences);
  const completed = hasEnded ? [] : job.completedOccurrences;
  return {
    state: job.state,
    ...(completed.length > 0 ? { completed } : {}),
    occurrences,
  };
}

/** Monotonic times at which a job is restored, and that its runs depend on. */
export interface RestoreTimes {
  nowMs: number;
  /** Until when start orders of predecessors may be carried out. */
  lateStartsUntilMs: number;
}

function restoreRuns(
  state: CellState,
  { step, index }: { step: Step; index: number },
  runs: RunRecord[],
  { nowMs, lateStartsUntilMs }: RestoreTimes,
): void {
  const task = step.tasks[index]!;
  runs.forEach(([workerId, incarnationStartMs, attempt, mayStartLate]) => {
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
    // A run that certainly does not start late is treated like one with a ticket.
    const hasTicket = mayStartLate === undefined;
    const run = makeRun({ step, index, attempt, workerId, incarnationStartMs, hasTicket }, nowMs);
    run.isRestored = true;
    if (mayStartLate) run.lateStartUntilMs = lateStartsUntilMs;
    task.runs.push(run);
    allocateRun(state, worker, run);
  });
}

function restoreDoneTask(step: Step, index: number): void {
  step.tasks[index]!.isDone = true;
  step.remainingTasks -= 1;
  step.job.hasConfirmedStart = true;
}

function restoreTask(
  state: CellState,
  step: Step,
  [index, attempt, failures, done, checkpoint, runs, lastFailedAttempt = 0]: TaskRecord,
  times: RestoreTimes,
): void {
  const { job } = step;
  Object.assign(step.tasks[index]!, { attempt, failures, lastFailedAttempt, checkpoint });
  if (done === 1) restoreDoneTask(step, index);
  else job.startedTasks += 1;
  if (failures > 0 || checkpoint !== '') job.hasConfirmedStart = true;
  restoreRuns(state, { step, index }, runs, times);
}

/**
 * Restores the stored progress of a job that was just added.
 *
 * @example
 * restoreProgress(state, job, record, { nowMs: clock.now(), lateStartsUntilMs });
 */
export function restoreProgress(
  state: CellState,
  job: Job,
  record: JobRecord,
  times: RestoreTimes,
): void {
  const { completed = [] } = record;
  if (!areRanges(completed)) throw new Error('expected ascending ranges of complete occurrences');
  job.state = record.state;
  job.storedState = record.state;
  if (job.state !== JobState.Queued) job.wait = undefined;
  if (isTerminalState(job.state)) {
    job.endedAtMs = times.nowMs;
    state.activeJobs.delete(job);
  }
  if (completed.length > 0) job.hasConfirmedStart = true;
  job.completedOccurrences = completed;
  record.occurrences.forEach(([occurrence, stepRecords, done = []]) => {
    const steps = ensureSteps(job, occurrence);
    stepRecords.forEach((tasks, stepIndex) => {
      tasks.forEach((taskRecord) => restoreTask(state, steps[stepIndex]!, taskRecord, times));
    });
    done.forEach((ranges, stepIndex) =>
      forEachInRanges(ranges, (index) => restoreDoneTask(steps[stepIndex]!, index)),
    );
  });
}
