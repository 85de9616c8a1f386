/**
 * Jobs that could not be placed in a scheduling round. Larger jobs under the same constraints are
 * skipped in that round because they would fail as well.
 */
import type { PendingJob } from './pending_jobs.ts';
import { fits } from './_size.ts';

const maxSizesPerConstraint = 16;

/** Jobs that no worker had capacity for. */
export interface FailedSizes {
  add(job: PendingJob): void;
  /** True when a job that is no larger and no longer has failed under the same constraints. */
  isExpectedToFail(job: PendingJob): boolean;
}

// Placement constraints; a failure says nothing about jobs with other constraints.
function getConstraintKey({ need, gang }: PendingJob): string {
  if (gang) return 'gang';
  const { avoidWorkers, onlyDataCentres, onlyRacks } = need;
  return [avoidWorkers, onlyDataCentres, onlyRacks].map((list) => list?.join() ?? '').join(';');
}

/** Makes an empty record for one scheduling round. */
export function makeFailedSizes(): FailedSizes {
  const failedByConstraint = new Map<string, PendingJob[]>();
  return {
    add(job) {
      if (job.gang) return;
      const key = getConstraintKey(job);
      const list = failedByConstraint.get(key) ?? [];
      if (list.length < maxSizesPerConstraint) list.push(job);
      failedByConstraint.set(key, list);
    },
    isExpectedToFail(job) {
      // A job with a shorter estimate may still be placed as backfill.
      return (failedByConstraint.get(getConstraintKey(job)) ?? []).some(
        (failed) =>
          fits(failed.need.size, job.need.size) && failed.need.estimateMs <= job.need.estimateMs,
      );
    },
  };
}
