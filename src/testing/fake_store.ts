/**
 * A row store in memory for tests: it can reject calls, lose answers, and carry writes out late.
 */
import { Right } from 'purify-ts';

import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Store, StoreTransaction, StoredRow, VersionedRows } from '../model/mod.ts';

/** What happens to one transaction. */
export type Fate = 'done' | 'rejected' | 'unanswered' | 'lost' | 'late';

/** The store. */
export interface FakeStore extends Store {
  rows: Map<string, StoredRow>;
  /** Decides what happens to the next transactions. */
  fate(): Fate;
  setOutcome(next: () => Fate): void;
  /** Carries out the transactions that were put off. */
  runLate(): void;
  value(table: string, key: string): string | undefined;
}

function nameOf({ table, part, key }: { table: string; part: string; key: string }): string {
  return `${table}/${part}/${key}`;
}

/** Makes the store. */
export function makeFakeStore(): FakeStore {
  const rows = new Map<string, StoredRow>();
  let late: StoreTransaction[] = [];
  let version = 0;
  let fate: () => Fate = () => 'done';

  function apply(change: StoreTransaction): StoredRow[] | undefined {
    const differs = change.expected.some(
      ({ version: wanted, ...row }) => (rows.get(nameOf(row))?.version ?? 0) !== wanted,
    );
    if (differs) return change.expected.flatMap((row) => rows.get(nameOf(row)) ?? []);
    version += 1;
    change.writes.forEach((row) => rows.set(nameOf(row), { ...row, version }));
    change.deletes.forEach((row) => rows.delete(nameOf(row)));
    return undefined;
  }

  return {
    rows,
    fate: () => fate(),
    setOutcome(next) {
      fate = next;
    },
    runLate() {
      const changes = late;
      late = [];
      changes.forEach(apply);
    },
    value: (table, key) =>
      [...rows.values()].find((row) => row.table === table && row.key === key)?.value,
    async transact(change) {
      const outcome = fate();
      if (outcome === 'rejected') return failWith(ErrorKind.TableUnavailable, 'rejected');
      if (outcome === 'late') late.push(structuredClone(change));
      if (outcome === 'late' || outcome === 'lost')
        return failWith(ErrorKind.TableUnknown, outcome);
      const conflict = apply(change);
      if (outcome === 'unanswered') return failWith(ErrorKind.TableUnknown, outcome);
      return conflict
        ? failWith(ErrorKind.TableConflict, 'a row has another version', { got: conflict })
        : Right(version);
    },
    async read({ table, part, key }) {
      const found = [...rows.values()].filter(
        (row) => row.table === table && row.part === part && (key === undefined || row.key === key),
      );
      return Right<VersionedRows>({ rows: found, version });
    },
    async listParts(table) {
      const parts = [...rows.values()].filter((row) => row.table === table).map(({ part }) => part);
      return Right([...new Set(parts)]);
    },
    async watch() {
      return Right<VersionedRows>({ rows: [], version });
    },
  };
}
