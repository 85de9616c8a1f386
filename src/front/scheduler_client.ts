/**
 * The scheduler of the cell, as the front end uses it.
 */
import type { SubmitResult } from '../cell/mod.ts';
import type { AcceptedJob, JobState } from '../model/mod.ts';

/** Sends requests to the scheduler of the cell. */
export interface SchedulerClient {
  submit(job: AcceptedJob): Promise<SubmitResult>;
  /** The stored state; undefined if the scheduler does not respond or does not know the job. */
  getState(jobId: string): Promise<JobState | undefined>;
  /** Cancels a job; false if the cancellation may not be stored. */
  cancel(jobId: string): Promise<boolean>;
}
