/**
 * Reading the rows: all of them after a change of membership, else only those of which news is
 * expected, to keep the control traffic low.
 */
import type { Clock } from '../clock/mod.ts';
import { scanAll } from '../membership/mod.ts';
import type { Membership } from '../membership/mod.ts';
import type { Table } from '../table/mod.ts';
import type { Cleaner } from './_cleaner.ts';
import type { KnownRows } from './_row_cache.ts';
import { workerKey } from './plan.ts';

/** Reads rows for one process. */
export interface Reading {
  /** Brings the known rows up to date; false when they are not complete yet. */
  read(): Promise<boolean>;
  reset(): void;
}

const rereadMs = 1_000;
const rescanMs = 300_000;
const expectMs = 60_000;

/**
 * Makes the reading side of ownership.
 *
 * @example
 * const reading = makeReading({ table, clock, membership, rows, reread, parked, member, cleaner });
 */
export function makeReading({
  table,
  clock,
  membership,
  rows,
  reread,
  parked,
  member,
  cleaner,
}: {
  table: Table;
  clock: Clock;
  membership: Membership;
  rows: KnownRows;
  reread: Set<string>;
  parked: Map<string, unknown>;
  member: () => string;
  cleaner: Cleaner;
}): Reading {
  let scanned = -1;
  let scannedAt = -Infinity;
  let rereadAt = -Infinity;
  const lastExpected = new Map<string, number>();

  const scan = async () => {
    const { version } = membership.view();
    const me = member();
    const claims = await scanAll(table, 'workers/');
    const shares = await scanAll(table, 'partitions/');
    if (me !== member() || claims.isLeft() || shares.isLeft()) return;
    rows.note([...claims.orDefault([]), ...shares.orDefault([])]);
    scanned = version;
    scannedAt = clock.now();
    await cleaner.collect();
  };

  const readExpected = async () => {
    if (clock.now() - rereadAt < rereadMs) return;
    rereadAt = clock.now();
    const present = new Set(membership.view().members.map(({ id }) => id));
    // Rows that another member is about to hand over to this one. That member may still have an
    // older view, by which this one is preferred although it is not any more.
    const expected = [...rows.workers(), ...rows.partitions()].filter((row) => {
      if (row.claim.owner === member() || !present.has(row.claim.owner)) return false;
      if (rows.preferredFor(row) === member()) lastExpected.set(row.key, clock.now());
      return clock.now() - (lastExpected.get(row.key) ?? -Infinity) < expectMs;
    });
    const keys = new Set([
      ...expected.map(({ key }) => key),
      ...[...parked.keys()].map(workerKey),
      ...reread,
    ]);
    if (keys.size === 0) return;
    const read = await table.read([...keys]);
    read.ifRight((found) => {
      rows.note(found);
      found.forEach(({ key }) => reread.delete(key));
    });
  };

  return {
    async read() {
      const isDue = clock.now() - scannedAt > rescanMs;
      if (scanned !== membership.view().version || isDue) await scan();
      if (scanned < 0) return false;
      await readExpected();
      return true;
    },
    reset() {
      scanned = -1;
    },
  };
}
