/**
 * The table service in memory: rows with versions and atomic transactions, and a `Table` over them
 * whose exchanges can be slow, fail or lose their answer on a virtual clock.
 */
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import type { Commit, Row, Transaction } from '../schema/mod.ts';
import type { Table } from './table.ts';

/** Rows with versions. A version is never used twice, not even for a row that was deleted. */
export interface TableState {
  read(keys: string[]): Row[];
  scan(prefix: string, options?: { after?: string; limit?: number }): Row[];
  /** Applies all writes, or returns the keys whose version differs. */
  transact(transaction: Transaction): { commit: Commit } | { conflicts: string[] };
}

/**
 * Makes an empty table; the observer sees every row that is written.
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

/** Faults of a table; a test changes them while it runs. */
export interface TableFaults {
  /** Time before a request takes effect. */
  slowMs: number;
  /** No connection is accepted. */
  refuse: boolean;
  /** Requests fail without taking effect, and the client cannot tell. */
  fail: boolean;
  /** So many transactions take effect but lose their answer. */
  lose: number;
}

/** A `Table` in memory. */
export interface MemoryTable extends Table {
  state: TableState;
  faults: TableFaults;
}

/**
 * Makes a `Table` in memory. A request that is slower than the timeout still takes effect, late.
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
