/**
 * Jobs as submitted by clients and as stored, and their externally visible states.
 */
import type { AdviceTiming } from './configuration.ts';
import type { Resources } from './resources.ts';

/** One step of a job: a number of identical tasks. */
export interface StepSpec {
  count: number;
  need: Resources;
  /** The client's estimate of a task's duration. */
  estimatedMs: number;
  /** Indexes of earlier steps that must complete before this one starts. */
  after: number[];
  checkpointing: boolean;
  /** All tasks run at the same time or not at all. */
  gang: boolean;
  /** The tasks run more slowly if they are spread over several racks. */
  rackLocal: boolean;
  /** Label that a worker must have to run the tasks. */
  requirement?: string;
  /** Rack that holds the input data. */
  preferredRack?: string;
  /** Maximum number of tasks of the step on one worker; 0 means unlimited. */
  maxPerWorker: number;
  /** Copies of a task may run in parallel; the first to finish counts. */
  speculative: boolean;
  /** The tasks run until the job is cancelled. */
  longRunning: boolean;
  image?: string;
  /** Maximum tail latency of a task that serves users; 0 means no limit. */
  targetLatencyMs: number;
  /** The tasks use only capacity that is otherwise idle. */
  fillsIdleCapacity: boolean;
  /** Maximum number of tasks of a long-running step that the system may disrupt at a time. */
  maxUnavailable?: number;
}

/** A fixed schedule on which the steps run repeatedly. */
export interface Repetition {
  count: number;
  /** Wall-clock time of the first repetition, in milliseconds since 1970. */
  startAtMs: number;
  intervalMs: number;
}

/** A job as a client submits it. */
export interface JobSpec {
  /** Work description that is passed to the workers. */
  payload: string;
  steps: StepSpec[];
  repetition?: Repetition;
}

/** The externally visible states of a job. */
export const JobState = {
  Queued: 'queued',
  Running: 'running',
  Completed: 'completed',
  Failed: 'failed',
  Cancelled: 'cancelled',
} as const;

/** One of the values of {@link JobState}. */
export type JobState = (typeof JobState)[keyof typeof JobState];

/** Whether the state is terminal: a job never leaves it. */
export function isTerminalState(state: JobState): boolean {
  return state === JobState.Completed || state === JobState.Failed || state === JobState.Cancelled;
}

/** An accepted job as it is stored. */
export interface AcceptedJob {
  id: string;
  queue: string;
  organisation: string;
  /** The queue's service at the time of acceptance. */
  service: string;
  /** Wall-clock time of acceptance, in milliseconds since 1970. */
  acceptedAtMs: number;
  /** The queue's settings at the time of acceptance, used if the queue no longer exists. */
  terms: {
    priority: number;
    maxAttempts: number;
    targetFactor: number;
    targetLatencyMs: number;
    advice?: AdviceTiming;
  };
  spec: JobSpec;
}
