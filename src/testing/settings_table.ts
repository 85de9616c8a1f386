/**
 * A table service in memory and the parts around it, for tests of settings and operators.
 */
import { Right } from 'purify-ts';

import { makeVirtualClock } from '../clock/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import { makeInvariantChecker, throwOnViolation } from '../invariants/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import type { Head, Row } from '../schema/mod.ts';
import { makeSettings } from '../settings/mod.ts';
import type { CommitParts } from '../settings/mod.ts';
import type { Table, Writer } from '../table/mod.ts';

/** The rows of a table service, and hooks for a test to interfere. */
export interface SettingsTable extends Table {
  rows: Map<string, Row>;
  writer: Writer;
  /** Called before each transaction; a returned failure is its outcome. */
  beforeCommit: () => Failure | undefined;
  beforeScan: () => void;
  set(key: string, value: unknown): void;
}

/**
 * Makes a table service in memory.
 *
 * @example
 * const table = makeSettingsTable();
 * table.set('head', { settings: 0, membership: 1 });
 */
export function makeSettingsTable(): SettingsTable {
  const rows = new Map<string, Row>();
  const get = (key: string) => rows.get(key) ?? { key, version: 0 };
  const set = (key: string, value: unknown) => {
    if (value === undefined) rows.delete(key);
    else rows.set(key, { key, version: get(key).version + 1, value });
  };
  const table: SettingsTable = {
    rows,
    set,
    beforeCommit: () => undefined,
    beforeScan: () => undefined,
    read: (keys) => Promise.resolve(Right(keys.map(get))),
    scan(prefix, { after = '', limit = 1_000 } = {}) {
      table.beforeScan();
      const found = [...rows.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      return Promise.resolve(Right(found.slice(0, limit)));
    },
    transact({ checks, writes, reads }) {
      const failed = table.beforeCommit();
      if (failed) return Promise.resolve(failWith(failed.kind, failed.message, failed));
      const wrong = checks.filter(({ key, version }) => get(key).version !== version);
      if (wrong.length > 0) {
        const got = wrong.map(({ key }) => key);
        return Promise.resolve(failWith(ErrorKind.TableConflict, 'versions differ', { got }));
      }
      writes.forEach(({ key, value }) => set(key, value));
      const versions = Object.fromEntries(writes.map(({ key }) => [key, get(key).version]));
      return Promise.resolve(Right({ versions, rows: reads.map(get) }));
    },
    writer: {
      isBusy: () => false,
      commit: ({ checks = [], writes = [], reads = [] }) =>
        table.transact({ operation: 'test', checks, writes, reads }),
    },
  };
  return table;
}

/**
 * Makes a process's settings over the table, with a membership that may commit.
 *
 * @example
 * await commitChange(makeCommitParts(makeSettingsTable()), proposal);
 */
export function makeCommitParts(
  table: SettingsTable,
): CommitParts & { commits: { open: number; begun: number; uncertain: number } } {
  const invariants = makeInvariantChecker({ onViolation: throwOnViolation });
  const commits = { open: 0, begun: 0, uncertain: 0 };
  return {
    commits,
    settings: makeSettings({ table, invariants, log: silentLogger }),
    membership: {
      mayCommitSettings: () => true,
      view: () => ({
        version: (table.rows.get('head')?.value as Head | undefined)?.membership ?? 0,
        members: [],
      }),
      beginSettingsCommit() {
        commits.open += 1;
        commits.begun += 1;
        return ({ certain = true } = {}) => {
          if (certain) commits.open -= 1;
          else commits.uncertain += 1;
        };
      },
    },
    table,
    writer: table.writer,
    clock: makeVirtualClock(),
    reallot: (current, limit) => ({ limit, held: current?.held ?? {} }),
  };
}
