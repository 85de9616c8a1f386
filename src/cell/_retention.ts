/**
 * Deletes the rows of jobs that ended long ago.
 *
 * The accepted job goes first: a job without its progress would look as if it had not begun.
 */
import type { Job } from '../scheduler/mod.ts';
import { cancellationRow, jobRow, progressRow } from './rows.ts';
import { logFailure } from './_term_state.ts';
import type { Term } from './_term_state.ts';

/** Deletes old jobs. */
export interface Retention {
  check(): void;
}

/** The state of a job is shown for at least two minutes after its end. */
const keepMs = 150_000;
const maxDeletionsPerCheck = 4;

/**
 * Makes the deletion of old jobs.
 *
 * @example
 * retention.check();
 */
export function makeRetention(term: Term): Retention {
  const { state, store, clock, log, journal } = term;
  const underWay = new Set<string>();

  async function forget({ accepted: { id } }: Job): Promise<void> {
    underWay.add(id);
    const deleted = await store.transact({
      expected: [],
      writes: [],
      deletes: [jobRow(id), cancellationRow(id)],
    });
    underWay.delete(id);
    if (deleted.isLeft()) return;
    journal.mark(progressRow(id), () => undefined);
    state.jobs.delete(id);
  }

  return {
    check() {
      const nowMs = clock.now();
      // Jobs end roughly in the order of their acceptance, which is that of the map.
      let count = 0;
      for (const job of state.jobs.values()) {
        if (count === maxDeletionsPerCheck) return;
        const isOld = job.endedAtMs !== undefined && nowMs - job.endedAtMs > keepMs;
        if (!isOld) {
          if (job.endedAtMs !== undefined) return;
          continue;
        }
        if (underWay.has(job.accepted.id)) continue;
        count += 1;
        forget(job).catch(logFailure(log, 'deleting a job'));
      }
    },
  };
}
