/**
 * A row store in memory for tests, which can reject transactions, lose responses and delay writes.
 */
import { Right } from 'purify-ts';

import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Store, StoreTransaction, StoredRow, VersionedRows } from '../model/mod.ts';

/** Outcome of a transaction: `unanswered` is carried out, `lost` never, `late` on demand. */
export type TransactionOutcome = 'done' | 'rejected' | 'unanswered' | 'lost' | 'late';

/** A row store whose transactions fail as a test sets. */
export interface FakeStore extends Store {
  rows: Map<string, StoredRow>;
  /** Returns the outcome of the next transaction. */
  nextOutcome(): TransactionOutcome;
  setOutcome(next: () => TransactionOutcome): void;
  /** Carries out the delayed transactions. */
  applyLateTransactions(): void;
  getValue(table: string, key: string): string | undefined;
}

function getRowName({ table, part, key }: { table: string; part: string; key: string }): string {
  return `${table}/${part}/${key}`;
}

/** Limits of a call, in bytes of UTF-8 before the encoding in base64, and in entries. */
const maxEntries = 100;
const maxCallBytes = 1_000_000;
const base64Factor = 4 / 3;

function isWithinLimits(
  { expected, writes, deletes }: StoreTransaction,
  maxRowBytes: number,
): boolean {
  const sizes = writes.map(({ value }) => Buffer.byteLength(value));
  const total = sizes.reduce((sum, size) => sum + size, 0);
  return (
    expected.length + writes.length + deletes.length <= maxEntries &&
    total * base64Factor <= maxCallBytes &&
    sizes.every((size) => size <= maxRowBytes)
  );
}

/** Makes an empty fake store, which rejects transactions beyond the limits of the platform's store. */
export function makeFakeStore({ maxRowBytes = 65_536 } = {}): FakeStore {
  const rows = new Map<string, StoredRow>();
  let lateTransactions: StoreTransaction[] = [];
  let version = 0;
  let nextOutcome: () => TransactionOutcome = () => 'done';

  function apply(transaction: StoreTransaction): StoredRow[] | undefined {
    const hasConflict = transaction.expected.some(
      ({ version: expectedVersion, ...row }) =>
        (rows.get(getRowName(row))?.version ?? 0) !== expectedVersion,
    );
    if (hasConflict) return transaction.expected.flatMap((row) => rows.get(getRowName(row)) ?? []);
    version += 1;
    transaction.writes.forEach((row) => rows.set(getRowName(row), { ...row, version }));
    transaction.deletes.forEach((row) => rows.delete(getRowName(row)));
    return undefined;
  }

  return {
    rows,
    nextOutcome: () => nextOutcome(),
    setOutcome(next) {
      nextOutcome = next;
    },
    applyLateTransactions() {
      const transactions = lateTransactions;
      lateTransactions = [];
      transactions.forEach(apply);
    },
    getValue: (table, key) =>
      [...rows.values()].find((row) => row.table === table && row.key === key)?.value,
    async transact(transaction) {
      if (!isWithinLimits(transaction, maxRowBytes)) {
        return failWith(ErrorKind.TableRejected, 'over a limit', { got: 400 });
      }
      const outcome = nextOutcome();
      if (outcome === 'rejected') return failWith(ErrorKind.TableUnavailable, 'rejected');
      if (outcome === 'late') lateTransactions.push(structuredClone(transaction));
      if (outcome === 'late' || outcome === 'lost')
        return failWith(ErrorKind.TableUnknown, outcome);
      const conflict = apply(transaction);
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
