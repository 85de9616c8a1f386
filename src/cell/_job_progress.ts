/**
 * Marks the rows of a job as changed whenever its progress has changed.
 */
import { isTerminalState } from '../model/mod.ts';
import { encodeProgress, listRuns } from '../scheduler/mod.ts';
import type { Job } from '../scheduler/mod.ts';
import type { BatchWriter } from './batch_writer.ts';
import { acceptedRow, progressRow } from './rows.ts';

/** Marks a job's progress row, and deletes the row of its acceptance once the job is over. */
export function markJobDirty(writer: BatchWriter, job: Job): void {
  const progress = progressRow(job.accepted.id);
  let { storedState } = job;
  writer.markDirty(
    progress,
    () => {
      storedState = job.state;
      return JSON.stringify(encodeProgress(job));
    },
    () => {
      job.storedState = storedState;
    },
  );
  // Once a job has ended and has no runs left, its progress row is sufficient, if it is stored.
  if (isTerminalState(job.state) && listRuns(job).length === 0) {
    writer.markDirty(acceptedRow(job.accepted.id), () =>
      writer.isHeldBack(progress) ? JSON.stringify(job.accepted) : undefined,
    );
  }
}
