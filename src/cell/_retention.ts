/**
 * Deletes the rows of jobs whose retention period after their end has passed.
 *
 * The accepted job is deleted before its progress: a job without progress would look as if it had not
 * started.
 */
import { logFailure } from '../logs/mod.ts';
import type { Job } from '../scheduler/mod.ts';
import { acceptedRow, cancellationRow, jobRow, progressRow } from './rows.ts';
import type { Term } from './_term_state.ts';

/** Deletes the rows of old jobs. */
export interface Retention {
  deleteOldJobs(): void;
}

/** The state of a job must be available for at least two minutes after its end. */
const retentionMs = 150_000;
const maxDeletionsPerCheck = 4;

/**
 * Makes the retention of a term.
 *
 * @example
 * retention.deleteOldJobs();
 */
export function makeRetention(term: Term): Retention {
  const { state, store, clock, log, writer } = term;
  const deletingIds = new Set<string>();

  async function deleteEntryRows(id: string): Promise<boolean> {
    const deletes = [jobRow(id), cancellationRow(id)];
    return (await store.transact({ expected: [], writes: [], deletes })).isRight();
  }

  async function deleteJob({ accepted: { id }, hasEntryRows }: Job): Promise<void> {
    deletingIds.add(id);
    try {
      if (hasEntryRows && !(await deleteEntryRows(id))) return;
    } finally {
      deletingIds.delete(id);
    }
    writer.markDirty(acceptedRow(id), () => undefined);
    writer.markDirty(progressRow(id), () => undefined);
    state.jobs.delete(id);
  }

  return {
    deleteOldJobs() {
      const nowMs = clock.now();
      const isOld = ({ endedAtMs }: Job) =>
        endedAtMs !== undefined && nowMs - endedAtMs > retentionMs;
      // The map is ordered by acceptance, so the oldest jobs come first.
      let deletions = 0;
      for (const job of state.jobs.values()) {
        if (deletions === maxDeletionsPerCheck) return;
        if (!isOld(job) || deletingIds.has(job.accepted.id)) continue;
        deletions += 1;
        deleteJob(job).catch(logFailure(log, 'deleting a job'));
      }
    },
  };
}
