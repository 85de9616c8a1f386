/**
 * The interface of the platform's row store.
 */
import type { Outcome } from '../errors/mod.ts';

/** The identity of a row. */
export interface RowKey {
  table: string;
  /** Partition of the table; rows of one partition can be changed in one transaction. */
  part: string;
  key: string;
}

/** A row; `deleted` marks a deletion among the changes that a watch returns. */
export interface StoredRow extends RowKey {
  value: string;
  version: number;
  deleted?: boolean;
}

/** An atomic change of several rows. */
export interface StoreTransaction {
  /** Versions that rows must have at commit; 0 for a row that must not exist. */
  expected: (RowKey & { version: number })[];
  writes: (RowKey & { value: string })[];
  deletes: RowKey[];
}

/** Rows as of a version of the store, and that version. */
export interface VersionedRows {
  rows: StoredRow[];
  version: number;
}

/**
 * A client of the row store.
 *
 * `transact` fails with `table-conflict` (`got` holds the current {@link StoredRow}s),
 * `table-unavailable` (certainly not applied), `table-rejected` (never applied, since the store does
 * not take such a change) or `table-unknown` (it may have been applied, or may still be applied later).
 */
export interface Store {
  transact(change: StoreTransaction, timeoutMs?: number): Outcome<number>;
  /** Reads all rows of a partition, or the row with the key. */
  read(query: { table: string; part: string; key?: string }): Outcome<VersionedRows>;
  /** Lists the partitions of a table. */
  listParts(table: string): Outcome<string[]>;
  /** Waits for changes after a version; `undefined` if the store has discarded that history. */
  watch(
    table: string,
    options: { after: number; waitMs: number },
  ): Outcome<VersionedRows | undefined>;
}
