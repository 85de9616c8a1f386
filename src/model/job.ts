/**
 * Jobs as clients submit them, and the states in which they are shown.
 */
import type { PlacementAdvice } from './configuration.ts';
import type { Resources } from './resources.ts';

/** One step of a job: a number of equal tasks. */
export interface StepSpec {
  count: number;
  need: Resources;
  /** Rough duration of a task that the client gave. */
  estimatedMs: number;
  /** Numbers of the earlier steps that must be done before this one. */
  after: number[];
  checkpointing: boolean;
  /** All tasks run together or not at all. */
  gang: boolean;
  /** The tasks are slower when they run on more than one rack. */
  rackLocal: boolean;
  /** Label that a worker must have. */
  requirement?: string;
  /** Rack on which the data lies. */
  preferredRack?: string;
  /** Most tasks of the step on one worker; 0 for no bound. */
  maxPerWorker: number;
  /** Copies may run in parallel; the first that finishes counts. */
  speculative: boolean;
  /** The tasks run until the job is cancelled. */
  longRunning: boolean;
  image?: string;
  /** Bound on the tail latency of a task that serves users; 0 for none. */
  targetLatencyMs: number;
  /** The tasks take only capacity that others leave unused. */
  fillsIdleCapacity: boolean;
  /** Tasks of a long-running step that may be unavailable at a time by the system's own actions. */
  maxUnavailable?: number;
}

/** A schedule on which the steps run again. */
export interface Repetition {
  count: number;
  /** Wall-clock time of the first occurrence, in milliseconds since 1970. */
  startAtMs: number;
  intervalMs: number;
}

/** A job as a client submits it. */
export interface JobSpec {
  /** Text that the workers run. */
  payload: string;
  steps: StepSpec[];
  repetition?: Repetition;
}

/** The states in which a job is shown. */
export const JobState = {
  Queued: 'queued',
  Running: 'running',
  Completed: 'completed',
  Failed: 'failed',
  Cancelled: 'cancelled',
} as const;

/** One of the values of {@link JobState}. */
export type JobState = (typeof JobState)[keyof typeof JobState];

/** Whether a job in the state never changes again. */
export function isTerminalState(state: JobState): boolean {
  return state === JobState.Completed || state === JobState.Failed || state === JobState.Cancelled;
}

/** A job as the front end stores it. */
export interface AcceptedJob {
  id: string;
  queue: string;
  organisation: string;
  /** Service of the queue when the job was accepted. */
  service: string;
  /** Wall-clock time of acceptance, in milliseconds since 1970. */
  acceptedAtMs: number;
  /** Figures of the queue when the job was accepted; they hold once the queue is gone. */
  terms: {
    priority: number;
    maxAttempts: number;
    targetFactor: number;
    targetLatencyMs: number;
    advice?: PlacementAdvice;
  };
  spec: JobSpec;
}
