/**
 * Reads the claim rows: all of them after a membership change, otherwise only those that are
 * expected to change, which keeps the control traffic low.
 */
import type { Clock } from '../clock/mod.ts';
import { scanAll } from '../membership/mod.ts';
import type { Membership } from '../membership/mod.ts';
import type { Table } from '../table/mod.ts';
import type { DepartedCleaner } from './_cleaner.ts';
import type { RowCache } from './_row_cache.ts';
import { workerKey } from './plan.ts';

/** Keeps the row cache of one process up to date. */
export interface RowReader {
  /** Updates the cached rows; false until all rows have been read once. */
  read(): Promise<boolean>;
  /** Makes the next read scan all rows. */
  reset(): void;
}

const rereadIntervalMs = 1_000;
const rescanIntervalMs = 300_000;
// A row is polled for this long after this process was last its preferred owner.
const handOverWatchMs = 60_000;

/**
 * Creates the row reader of a process. It polls the rows of `staleKeys` and of `parked` workers.
 *
 * @example
 * const rowReader = makeRowReader({ ...options, rows, staleKeys, parked, getSelfId, cleaner });
 */
export function makeRowReader({
  table,
  clock,
  membership,
  rows,
  staleKeys,
  parked,
  getSelfId,
  cleaner,
}: {
  table: Table;
  clock: Clock;
  membership: Membership;
  rows: RowCache;
  staleKeys: Set<string>;
  parked: Map<string, unknown>;
  getSelfId: () => string;
  cleaner: DepartedCleaner;
}): RowReader {
  let scannedVersion = -1;
  let scannedAt = -Infinity;
  let rereadAt = -Infinity;
  const expectedAt = new Map<string, number>();

  const scan = async () => {
    const { version } = membership.view();
    const selfId = getSelfId();
    const workerRows = await scanAll(table, 'workers/');
    const partitionRows = await scanAll(table, 'partitions/');
    if (selfId !== getSelfId() || workerRows.isLeft() || partitionRows.isLeft()) return;
    rows.update([...workerRows.orDefault([]), ...partitionRows.orDefault([])]);
    scannedVersion = version;
    scannedAt = clock.now();
    await cleaner.readDeparted();
  };

  const readExpected = async () => {
    if (clock.now() - rereadAt < rereadIntervalMs) return;
    rereadAt = clock.now();
    const memberIds = new Set(membership.view().members.map(({ id }) => id));
    // Rows that another member is about to hand over to this process. That member may still act on
    // an older view in which this process was the preferred owner.
    const expectedRows = [...rows.workers(), ...rows.partitions()].filter((row) => {
      if (row.claim.owner === getSelfId() || !memberIds.has(row.claim.owner)) return false;
      if (rows.selectOwner(row) === getSelfId()) expectedAt.set(row.key, clock.now());
      return clock.now() - (expectedAt.get(row.key) ?? -Infinity) < handOverWatchMs;
    });
    const keys = new Set([
      ...expectedRows.map(({ key }) => key),
      ...[...parked.keys()].map(workerKey),
      ...staleKeys,
    ]);
    if (keys.size === 0) return;
    const read = await table.read([...keys]);
    read.ifRight((rowsRead) => {
      rows.update(rowsRead);
      rowsRead.forEach(({ key }) => staleKeys.delete(key));
    });
  };

  return {
    async read() {
      const isDue = clock.now() - scannedAt > rescanIntervalMs;
      if (scannedVersion !== membership.view().version || isDue) await scan();
      if (scannedVersion < 0) return false;
      await readExpected();
      return true;
    },
    reset() {
      scannedVersion = -1;
    },
  };
}
