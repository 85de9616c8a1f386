/**
 * The state of one cell: its jobs, its workers and the runs of tasks on workers.
 */
import { noResources } from '../model/mod.ts';
import type { AcceptedJob, JobState, Resources, StepSpec, WorkerEntry } from '../model/mod.ts';
import type { NumberRange } from './_ranges.ts';
import type { Wait } from './waiting.ts';

/** Phases of a run, from the decision to start it to its end. */
export const RunPhase = {
  /** Decided, and its resources are allocated; the start order may have been sent. */
  Ordered: 'ordered',
  /** The worker has confirmed the start or has listed the run. */
  Running: 'running',
  /** A stop was decided; the resources stay allocated until the run is known to have ended. */
  Stopping: 'stopping',
} as const;

/** One of the values of {@link RunPhase}. */
export type RunPhase = (typeof RunPhase)[keyof typeof RunPhase];

/** One attempt to run a task on a worker. */
export interface Run {
  step: Step;
  /** Index of the task within the step. */
  index: number;
  attempt: number;
  workerId: string;
  /** Incarnation of the worker that the run belongs to. */
  incarnationStartMs: number;
  phase: RunPhase;
  orderedAtMs: number;
  /** When the decision was stored and when the start order was first sent; undefined before. */
  storedAtMs: number | undefined;
  sentAtMs: number | undefined;
  /** Number of times that the start order was sent. */
  sends: number;
  /** Progress that the worker listed last. */
  percent: number;
  /** Time of the last sign of progress: decision, confirmed start, changed percentage or stop. */
  progressAtMs: number;
  /** A start order is being sent, or was sent and may still take effect. */
  isStartUncertain: boolean;
  /** Restored from the store: a predecessor may have sent the start order. */
  isRestored: boolean;
  /** The start order carries a ticket, so that a later incarnation of the worker rejects it. */
  hasTicket: boolean;
  /**
   * Monotonic time until which a start order without a response may be carried out, in any incarnation of
   * the worker; -Infinity once a response or the worker's list accounts for it.
   */
  lateStartUntilMs: number;
}

/** A task of a step and its progress. */
export interface Task {
  /** Highest attempt number so far; 0 before the first start. */
  attempt: number;
  failures: number;
  /** Attempt of the failure counted last; the members of a gang share their attempt numbers. */
  lastFailedAttempt: number;
  isDone: boolean;
  checkpoint: string;
  runs: Run[];
  /** Earliest time of the next start. */
  notBeforeMs?: number;
}

/** Permission of the advice service to run a step on one worker. */
export interface Ticket {
  value: string;
  incarnationStartMs: number;
  validUntilMs: number;
}

/** The advice service's responses about the workers for a step. */
export interface StepAdvice {
  /** Worker incarnations that the service was asked about, by worker id. */
  asked: Map<string, number>;
  /** Worker incarnations that may run the step, by worker id. */
  allowed: Map<string, number>;
  tickets: Map<string, Ticket>;
  /** An advice request is in flight. */
  isPending: boolean;
  /** Earliest time of the next advice request. */
  notBeforeMs: number;
}

/** Capacity on allowed workers, reserved for tasks of a step while new tickets are requested. */
export interface Reservation {
  /** Number of tasks by worker; a worker that registers anew is another one here. */
  workers: Map<Worker, number>;
  /** Monotonic time at which the tickets arrived or the request failed; undefined before. */
  answeredAtMs?: number;
}

/** A step of one occurrence of a job. */
export interface Step {
  job: Job;
  occurrence: number;
  index: number;
  spec: StepSpec;
  tasks: Task[];
  /** Number of tasks that are not done. */
  remainingTasks: number;
  /** Monotonic time at which its objective starts: acceptance, or the due time of its occurrence. */
  objectiveStartMs: number;
  advice: StepAdvice;
  reservation?: Reservation;
  /** Time of the last pass that tried to place the step while it was too late. */
  lastTriedAtMs: number;
}

/** Scheduling parameters of a queue. */
export type QueueTerms = AcceptedJob['terms'];

/** A job and its progress. */
export interface Job {
  accepted: AcceptedJob;
  /** Monotonic time of acceptance. */
  acceptedAtMs: number;
  state: JobState;
  /** The state that was stored last, which is the one that clients see. */
  storedState: JobState;
  /** A worker has confirmed a start of one of its tasks; a start order alone may never arrive. */
  hasConfirmedStart: boolean;
  /** An entry process has stored the job or its cancellation, bypassing the scheduler. */
  hasEntryRows: boolean;
  /** Duration of the longest chain of dependent steps. */
  criticalPathMs: number;
  /** Work of one occurrence as estimated by the client, in millicores times milliseconds. */
  millicoreMs: number;
  /** Steps of the occurrences that are open: due, and not complete. */
  occurrences: Map<number, Step[]>;
  /** Complete occurrences in ascending order; their steps have been dropped. */
  completedOccurrences: NumberRange[];
  /** Number of tasks that were started and are not done, which its stored progress lists one by one. */
  startedTasks: number;
  /** Monotonic time before which passes skip the job because it is too late. */
  skipUntilMs: number;
  /** Monotonic time before which passes skip the job because a decision about it failed. */
  setAsideUntilMs: number;
  /** Wait for its first start; undefined once that start was decided. */
  wait: Wait | undefined;
  /** Monotonic time at which it reached a terminal state; its rows are kept for a while longer. */
  endedAtMs?: number;
}

/** The scheduler's view of a worker. */
export interface Worker {
  entry: WorkerEntry;
  /** Incarnation that responded last; 0 before the first response. */
  incarnationStartMs: number;
  /** It has responded under the fencing token of the current session, so its list of runs is complete. */
  isSynced: boolean;
  /** Monotonic time of its last report. */
  reportedAtMs: number;
  /** Monotonic time since which its reports have come without a long gap. */
  observedSinceMs: number;
  /** It responded to the last lease renewal. */
  isResponsive: boolean;
  /** Its entry is in the registry. */
  isRegistered: boolean;
  /** Resources allocated to runs. */
  used: Resources;
  /** Resources reserved for steps whose tickets are requested. */
  reserved: Resources;
  /** Expected CPU use of the steps whose pending advice requests name this worker. */
  expectedCpu: number;
  /** Capacity that is neither allocated nor reserved. */
  free: Resources;
  runs: Map<string, Run>;
  /** Number of failed runs since a run was last done. */
  consecutiveFailures: number;
  /** Time until which no task is placed on it. */
  backoffUntilMs: number;
}

/** The scheduler's view of its cell. */
export interface CellState {
  jobs: Map<string, Job>;
  /** Jobs that are not in a terminal state. */
  activeJobs: Set<Job>;
  workers: Map<string, Worker>;
  /** Resources that each organisation's runs use, by name. */
  usage: Map<string, Resources>;
  /** Steps that have a reservation. */
  reservedSteps: Set<Step>;
  /** Fraction of workers that the advice service allows, by queue, as learned from its responses. */
  allowedFractions: Map<string, number>;
}

/**
 * Creates the state of a cell without jobs and workers.
 *
 * @example
 * const state = makeCellState();
 */
export function makeCellState(): CellState {
  return {
    jobs: new Map(),
    activeJobs: new Set(),
    workers: new Map(),
    usage: new Map(),
    reservedSteps: new Set(),
    allowedFractions: new Map(),
  };
}

/** Creates the view of a worker that was just found. */
export function makeWorker(entry: WorkerEntry): Worker {
  return {
    entry,
    incarnationStartMs: 0,
    isSynced: false,
    reportedAtMs: -Infinity,
    observedSinceMs: -Infinity,
    isResponsive: false,
    isRegistered: true,
    used: noResources,
    reserved: noResources,
    expectedCpu: 0,
    free: entry.capacity,
    runs: new Map(),
    consecutiveFailures: 0,
    backoffUntilMs: 0,
  };
}

/** Returns the name of a step on the wire and in logs: job id, occurrence and step index. */
export function getStepName({ job, occurrence, index }: Step): string {
  return `${job.accepted.id}.${occurrence}.${index}`;
}

/** Returns the name of a task on the wire and in logs: step name and task index. */
export function getTaskName(run: { step: Step; index: number }): string {
  return `${getStepName(run.step)}.${run.index}`;
}

/** Returns the id of the job of a task with this name. */
export function getJobId(taskName: string): string {
  return taskName.split('.', 1)[0]!;
}

/** Formats the key of a run within its worker's runs from the task name and the attempt. */
export function formatRunKey({ task, attempt }: { task: string; attempt: number }): string {
  return `${task}#${attempt}`;
}

/** Returns the key of a run within its worker's runs. */
export function getRunKey(run: Pick<Run, 'step' | 'index' | 'attempt'>): string {
  return formatRunKey({ task: getTaskName(run), attempt: run.attempt });
}

/** Creates a run in phase `ordered`. */
export function makeRun(
  fields: Pick<Run, 'step' | 'index' | 'attempt' | 'workerId' | 'incarnationStartMs' | 'hasTicket'>,
  nowMs: number,
): Run {
  return {
    ...fields,
    phase: RunPhase.Ordered,
    orderedAtMs: nowMs,
    storedAtMs: undefined,
    sentAtMs: undefined,
    sends: 0,
    percent: 0,
    progressAtMs: nowMs,
    isStartUncertain: false,
    isRestored: false,
    lateStartUntilMs: -Infinity,
  };
}

/** Lists the tasks that the end of a run affects: all members of its gang, or its task alone. */
export function listAffectedTasks({ step, index }: Pick<Run, 'step' | 'index'>): Task[] {
  return step.spec.gang ? step.tasks : [step.tasks[index]!];
}

/** Records a checkpoint. Any member's is valid for its whole gang, and all must have the same. */
export function recordCheckpoint(run: Run, checkpoint: string): void {
  if (checkpoint === '') return;
  listAffectedTasks(run).forEach((task) => {
    task.checkpoint = checkpoint;
  });
}
