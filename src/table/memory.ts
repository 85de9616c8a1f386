/**
 * An in-memory table service with row versions and atomic transactions, and a `Table` client of it
 * whose requests can be slow, fail or lose their response on a virtual clock.
 */
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import type { Commit, Row, Transaction } from '../schema/mod.ts';
import type { Table } from './table.ts';

/** Rows with versions. A version is never reused, not even after its row was deleted. */
export interface TableState {
  read(keys: string[]): Row[];
  scan(prefix: string, options?: { after?: string; limit?: number }): Row[];
  /** Applies all writes, or returns the keys whose version differs. */
  transact(transaction: Transaction): { commit: Commit } | { conflicts: string[] };
}

/**
 * Makes an empty table. `onWrite` is called for every row that is written or deleted.
 *
 * @example
 * const state = makeTableState();
 * state.transact({ operation: 'o1', checks: [], writes: [{ key: 'a', value: 1 }], reads: [] });
 */
export function makeTableState(
  onWrite: (key: string, value: unknown) => void = () => undefined,
): TableState {
  const rows = new Map<string, Row>();
  let lastVersion = 0;
  const readRow = (key: string): Row => structuredClone(rows.get(key) ?? { key, version: 0 });
  return {
    read: (keys) => keys.map(readRow),
    scan: (prefix, { after = '', limit = 1_000 } = {}) =>
      [...rows.keys()]
        .filter((key) => key.startsWith(prefix) && key > after)
        .sort()
        .slice(0, limit)
        .map(readRow),
    transact({ checks, writes, reads, versions: versionKeys = [] }) {
      const conflicts = checks
        .filter(({ key, version }) => (rows.get(key)?.version ?? 0) !== version)
        .map(({ key }) => key);
      if (conflicts.length > 0) return { conflicts };
      lastVersion += 1;
      const versions: Record<string, number> = {};
      writes.forEach(({ key, value }) => {
        versions[key] = value === undefined ? 0 : lastVersion;
        if (value === undefined) rows.delete(key);
        else rows.set(key, { key, version: lastVersion, value: structuredClone(value) });
        onWrite(key, value);
      });
      return {
        commit: {
          versions,
          rows: [
            ...reads.map(readRow),
            ...versionKeys.map((key) => ({ key, version: readRow(key).version })),
          ],
        },
      };
    },
  };
}

/** Faults that a test can inject while the table is in use. */
export interface TableFaults {
  /** Delay before a request is applied. */
  slowMs: number;
  /** Refuses connections. */
  refuse: boolean;
  /** Requests fail without being applied, in a way that leaves their outcome unknown. */
  fail: boolean;
  /** Number of transactions that are applied but whose response is lost. */
  lose: number;
}

/** An in-memory `Table`. */
export interface MemoryTable extends Table {
  state: TableState;
  faults: TableFaults;
}

/**
 * Makes an in-memory `Table`. A request that is slower than the timeout is still applied later.
 *
 * @example
 * const table = makeMemoryTable({ clock });
 * table.faults.lose = 1;
 */
export function makeMemoryTable(options: {
  clock: Clock;
  state?: TableState;
  timeoutMs?: number;
}): MemoryTable {
  const { clock, state = makeTableState(), timeoutMs = 600 } = options;
  const faults: TableFaults = { slowMs: 0, refuse: false, fail: false, lose: 0 };
  async function exchange<T>(kind: ErrorKind, apply: () => Either<Failure, T>) {
    if (faults.refuse) {
      await clock.sleep(1);
      return failWith<T>(ErrorKind.TableUnavailable, 'connection refused');
    }
    const { slowMs, fail } = faults;
    const response = clock
      .sleep(slowMs)
      .then(() => (fail ? failWith<T>(kind, 'the table service failed') : apply()));
    if (slowMs <= timeoutMs) return response;
    await clock.sleep(timeoutMs);
    return failWith<T>(kind, `no answer within ${timeoutMs} ms`);
  }
  return {
    state,
    faults,
    read: (keys) => exchange(ErrorKind.TableUnavailable, () => Right(state.read(keys))),
    scan: (prefix, scanOptions) =>
      exchange(ErrorKind.TableUnavailable, () => Right(state.scan(prefix, scanOptions))),
    transact: (transaction) =>
      exchange<Commit>(ErrorKind.TableUnknown, () => {
        const result = state.transact(transaction);
        if (faults.lose > 0) {
          faults.lose -= 1;
          return failWith(ErrorKind.TableUnknown, 'connection reset');
        }
        if ('commit' in result) return Right(result.commit);
        return failWith(ErrorKind.TableConflict, 'rows have other versions', {
          got: result.conflicts,
        });
      }),
  };
}
