/**
 * Sizes that found no room in a round, so that larger ones are not tried in vain.
 */
import type { WaitingItem } from './pending_jobs.ts';
import { fits } from './_size.ts';

const maxSizesPerConstraint = 16;

/** Sizes for which there is no room. */
export interface FailedSizes {
  add(job: WaitingItem): void;
  /** True when a size at or below the item's has failed under no stricter conditions. */
  isExpectedToFail(job: WaitingItem): boolean;
}

// Conditions on the place that a failure cannot be carried over from.
function getConstraintKey({ need, gang }: WaitingItem): string {
  if (gang) return 'gang';
  const { avoidWorkers, onlyDataCentres, onlyRacks } = need;
  return [avoidWorkers, onlyDataCentres, onlyRacks].map((list) => list?.join() ?? '').join(';');
}

/** Makes an empty record for one round. */
export function makeFailedSizes(): FailedSizes {
  const failedByConstraint = new Map<string, WaitingItem[]>();
  return {
    add(job) {
      if (job.gang) return;
      const key = getConstraintKey(job);
      const list = failedByConstraint.get(key) ?? [];
      if (list.length < maxSizesPerConstraint) list.push(job);
      failedByConstraint.set(key, list);
    },
    isExpectedToFail(job) {
      // Heavy work that is known to be short may still be let in as backfill.
      return (failedByConstraint.get(getConstraintKey(job)) ?? []).some(
        (failed) =>
          fits(failed.need.size, job.need.size) && failed.need.estimateMs <= job.need.estimateMs,
      );
    },
  };
}
