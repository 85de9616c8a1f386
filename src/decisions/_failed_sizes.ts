/**
 * Sizes that found no room in a round, so that larger ones are not tried in vain.
 */
import type { WaitingItem } from './pending_jobs.ts';
import { fits } from './_size.ts';

const maxSizes = 16;

/** Sizes for which there is no room. */
export interface FailedSizes {
  add(item: WaitingItem): void;
  /** True when a size at or below the item's has failed under no stricter conditions. */
  covers(item: WaitingItem): boolean;
}

// Conditions on the place that a failure cannot be carried over from.
function conditions({ need, gang }: WaitingItem): string {
  if (gang) return 'gang';
  const { avoidWorkers, onlyDataCentres, onlyRacks } = need;
  return [avoidWorkers, onlyDataCentres, onlyRacks].map((list) => list?.join() ?? '').join(';');
}

/** Makes an empty record for one round. */
export function makeFailedSizes(): FailedSizes {
  const failed = new Map<string, WaitingItem[]>();
  return {
    add(item) {
      if (item.gang) return;
      const key = conditions(item);
      const list = failed.get(key) ?? [];
      if (list.length < maxSizes) list.push(item);
      failed.set(key, list);
    },
    covers(item) {
      // Heavy work that is known to be short may still be let in as backfill.
      return (failed.get(conditions(item)) ?? []).some(
        (other) =>
          fits(other.need.size, item.need.size) && other.need.estimateMs <= item.need.estimateMs,
      );
    },
  };
}
