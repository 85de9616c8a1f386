/**
 * The state of one cell: its jobs, its workers and the runs that tie them together.
 */
import { noResources } from '../model/mod.ts';
import type { AcceptedJob, JobState, Resources, StepSpec, WorkerEntry } from '../model/mod.ts';
import type { Wait } from './waiting.ts';

/** How far a run has come. */
export const RunPhase = {
  /** Decided; the order may have been sent, and the run takes room. */
  Ordered: 'ordered',
  /** The worker has listed or confirmed it. */
  Running: 'running',
  /** A stop has been decided; the run takes room until its end is listed. */
  Stopping: 'stopping',
} as const;

/** One of the values of {@link RunPhase}. */
export type RunPhase = (typeof RunPhase)[keyof typeof RunPhase];

/** One start of a task on a worker. */
export interface Run {
  step: Step;
  index: number;
  attempt: number;
  workerId: string;
  /** Incarnation of the worker. */
  incarnationStartMs: number;
  phase: RunPhase;
  orderedAtMs: number;
  /** When the decision was stored and when the order was first sent; undefined before. */
  storedAtMs: number | undefined;
  sentAtMs: number | undefined;
  /** How often the order was sent. */
  sends: number;
  /** Last share of the work that the worker listed, and when that share first was listed. */
  percent: number;
  progressAtMs: number;
  /** An order was sent that may still be carried out. */
  isStartUncertain: boolean;
}

/** A task of a step. */
export interface Task {
  /** Highest attempt that was ordered; 0 before the first. */
  attempt: number;
  failures: number;
  /** Attempt of the last failure that was counted; members of a gang share their attempts. */
  lastFailedAttempt: number;
  isDone: boolean;
  checkpoint: string;
  runs: Run[];
  /** Time before which the task is not started again. */
  notBeforeMs?: number;
}

/** Tickets of a step: permissions to run it on a worker. */
export interface Ticket {
  value: string;
  incarnationStartMs: number;
  validUntilMs: number;
}

/** What is known of the workers that may run a step. */
export interface StepAdvice {
  /** Incarnations of workers about which the service was asked, by the worker's id. */
  asked: Map<string, number>;
  /** Those of them that may run the step. */
  allowed: Map<string, number>;
  tickets: Map<string, Ticket>;
  /** A call is on its way. */
  isPending: boolean;
  notBeforeMs: number;
}

/** Room held for tasks of a step while tickets for it are asked for. */
export interface Reservation {
  workers: Map<string, number>;
}

/** A step of one occurrence of a job. */
export interface Step {
  job: Job;
  occurrence: number;
  index: number;
  spec: StepSpec;
  tasks: Task[];
  /** Tasks that are not done. */
  remainingTasks: number;
  /** Monotonic time from which its objective counts: acceptance, or when its occurrence was due. */
  objectiveStartMs: number;
  advice: StepAdvice;
  reservation?: Reservation;
  /** When a pass last tried to place the step although it can only be late without worth. */
  lastTriedAtMs: number;
}

/** The figures of a queue that decide about its jobs. */
export type QueueTerms = AcceptedJob['terms'];

/** A job and its progress. */
export interface Job {
  accepted: AcceptedJob;
  /** Monotonic time of acceptance. */
  acceptedAtMs: number;
  state: JobState;
  /** The state as it was last stored, which is the one that clients are shown. */
  storedState: JobState;
  /** A worker is known to have started a task of it; an order alone does not tell. */
  hasConfirmedStart: boolean;
  /** An entry process has stored the job, or a request to cancel it, without the scheduler. */
  hasEntryRows: boolean;
  /** Duration of the longest chain of steps. */
  criticalPathMs: number;
  /** Work of one occurrence, as the client estimated it: thousandths of a core times milliseconds. */
  millicoreMs: number;
  occurrences: Map<number, Step[]>;
  /** Monotonic time before which passes skip the job, since it can only be late without worth. */
  skipUntilMs: number;
  /** Its wait until its first start; undefined once that was decided. */
  wait: Wait | undefined;
  /** Monotonic time of the final state, after which the rows are kept for a while. */
  endedAtMs?: number;
}

/** What the scheduler believes of a worker. */
export interface Worker {
  entry: WorkerEntry;
  /** Incarnation that last answered; 0 before the first answer. */
  incarnationStartMs: number;
  /** It has answered under this scheduler's token, so its list of runs is complete. */
  isSynced: boolean;
  /** The last renewal was answered. */
  isAnswering: boolean;
  /** Entry is in the registry. */
  isRegistered: boolean;
  used: Resources;
  /** Room held by plans. */
  reserved: Resources;
  /** Processor that steps probably take here whose calls for tickets name this worker. */
  expectedCpu: number;
  /** Capacity that neither runs nor plans take. */
  free: Resources;
  runs: Map<string, Run>;
  /** Failed ends without a done end in between. */
  consecutiveFailures: number;
  /** Time until which nothing is placed there. */
  backoffUntilMs: number;
}

/** Everything that the scheduler of a cell knows. */
export interface CellState {
  jobs: Map<string, Job>;
  /** Jobs that are not in a final state. */
  activeJobs: Set<Job>;
  workers: Map<string, Worker>;
  /** What each organisation has running. */
  usage: Map<string, Resources>;
  /** Share of the workers asked about that may run a step, by queue, as learned from the answers. */
  allowedFractions: Map<string, number>;
}

/**
 * Makes the state of a cell without jobs and workers.
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
    allowedFractions: new Map(),
  };
}

/** Makes the belief about a worker that has just been found. */
export function makeWorker(entry: WorkerEntry): Worker {
  return {
    entry,
    incarnationStartMs: 0,
    isSynced: false,
    isAnswering: false,
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

/** Name of a step on the wire and in logs: job, occurrence and number. */
export function getStepName({ job, occurrence, index }: Step): string {
  return `${job.accepted.id}.${occurrence}.${index}`;
}

/** Name of a task on the wire and in logs. */
export function getTaskName(run: { step: Step; index: number }): string {
  return `${getStepName(run.step)}.${run.index}`;
}

/** Key of a run among the runs of a worker, by the task's name. */
export function formatRunKey({ task, attempt }: { task: string; attempt: number }): string {
  return `${task}#${attempt}`;
}

/** Key of a run among the runs of a worker. */
export function getRunKey(run: Pick<Run, 'step' | 'index' | 'attempt'>): string {
  return formatRunKey({ task: getTaskName(run), attempt: run.attempt });
}

/** Makes a run that has been ordered. */
export function makeRun(
  fields: Pick<Run, 'step' | 'index' | 'attempt' | 'workerId' | 'incarnationStartMs'>,
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
  };
}

/** The tasks that share the fate of a run: all members of its gang, or its task alone. */
export function listAffectedTasks({ step, index }: Pick<Run, 'step' | 'index'>): Task[] {
  return step.spec.gang ? step.tasks : [step.tasks[index]!];
}

/** Keeps a checkpoint; that of any member is valid for its gang, and all must carry the same. */
export function recordCheckpoint(run: Run, checkpoint: string): void {
  if (checkpoint === '') return;
  listAffectedTasks(run).forEach((task) => {
    task.checkpoint = checkpoint;
  });
}
