/**
 * A row store in memory for tests: it can reject calls, lose answers, and carry writes out late.
 */
import { Right } from 'purify-ts';

import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Store, StoreTransaction, StoredRow, VersionedRows } from '../model/mod.ts';

/** What happens to one transaction. */
export type TransactionOutcome = 'done' | 'rejected' | 'unanswered' | 'lost' | 'late';

/** The store. */
export interface FakeStore extends Store {
  rows: Map<string, StoredRow>;
  /** Decides what happens to the next transactions. */
  nextOutcome(): TransactionOutcome;
  setOutcome(next: () => TransactionOutcome): void;
  /** Carries out the transactions that were put off. */
  applyLateChanges(): void;
  value(table: string, key: string): string | undefined;
}

function getRowName({ table, part, key }: { table: string; part: string; key: string }): string {
  return `${table}/${part}/${key}`;
}

/** Makes the store. */
export function makeFakeStore(): FakeStore {
  const rows = new Map<string, StoredRow>();
  let lateChanges: StoreTransaction[] = [];
  let version = 0;
  let nextOutcome: () => TransactionOutcome = () => 'done';

  function apply(change: StoreTransaction): StoredRow[] | undefined {
    const hasConflict = change.expected.some(
      ({ version: expectedVersion, ...row }) =>
        (rows.get(getRowName(row))?.version ?? 0) !== expectedVersion,
    );
    if (hasConflict) return change.expected.flatMap((row) => rows.get(getRowName(row)) ?? []);
    version += 1;
    change.writes.forEach((row) => rows.set(getRowName(row), { ...row, version }));
    change.deletes.forEach((row) => rows.delete(getRowName(row)));
    return undefined;
  }

  return {
    rows,
    nextOutcome: () => nextOutcome(),
    setOutcome(next) {
      nextOutcome = next;
    },
    applyLateChanges() {
      const changes = lateChanges;
      lateChanges = [];
      changes.forEach(apply);
    },
    value: (table, key) =>
      [...rows.values()].find((row) => row.table === table && row.key === key)?.value,
    async transact(change) {
      const outcome = nextOutcome();
      if (outcome === 'rejected') return failWith(ErrorKind.TableUnavailable, 'rejected');
      if (outcome === 'late') lateChanges.push(structuredClone(change));
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
