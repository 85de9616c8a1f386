/**
 * What the front end needs of the scheduler of the cell.
 */
import type { SubmitResult } from '../cell/mod.ts';
import type { AcceptedJob, JobState } from '../model/mod.ts';

/** The scheduler of the cell, as the front end uses it. */
export interface CellAccess {
  submit(job: AcceptedJob): Promise<SubmitResult>;
  /** The stored state; undefined when the scheduler does not answer or does not know the job. */
  stateOf(jobId: string): Promise<JobState | undefined>;
  /** Cancels a job; false when that may not be stored. */
  cancel(jobId: string): Promise<boolean>;
}
