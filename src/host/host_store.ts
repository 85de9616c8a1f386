/**
 * The store as an entry process uses it: with values that may be larger than a row, and with a record
 * of whether it serves this process.
 */
import { acceptedTable, jobsTable, makeChunkedStore, progressTable } from '../cell/mod.ts';
import type { Store } from '../model/mod.ts';
import { trackStoreHealth } from './store_health.ts';
import type { StoreHealth } from './store_health.ts';

/** Tables whose values grow with the size of a job. */
const tablesOfJobs = new Set([acceptedTable, jobsTable, progressTable]);

/**
 * Makes the store of an entry process; `maxRowBytes` is the longest value of a row.
 *
 * @example
 * const { store, isDown } = makeHostStore(makeStore(address, clock), 65_536);
 */
export function makeHostStore(inner: Store, maxRowBytes: number): StoreHealth {
  const health = trackStoreHealth(inner);
  return {
    ...health,
    store: makeChunkedStore(health.store, { tables: tablesOfJobs, maxRowBytes }),
  };
}
