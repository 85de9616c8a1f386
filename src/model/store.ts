/**
 * The functions through which the program meets the platform's row store.
 */
import type { Outcome } from '../errors/mod.ts';

/** The place of a row. */
export interface RowKey {
  table: string;
  /** Rows of one part can be changed together. */
  part: string;
  key: string;
}

/** A row; `deleted` marks a row of a feed that no longer exists. */
export interface StoredRow extends RowKey {
  value: string;
  version: number;
  deleted?: boolean;
}

/** A change of several rows that takes effect as a whole or not at all. */
export interface StoreTransaction {
  /** Versions that rows must have; 0 for a row that must not exist. */
  expected: (RowKey & { version: number })[];
  writes: (RowKey & { value: string })[];
  deletes: RowKey[];
}

/** Rows as of one moment, and the newest version of the store at that moment. */
export interface VersionedRows {
  rows: StoredRow[];
  version: number;
}

/**
 * A client of the row store.
 *
 * `transact` fails with `table-conflict` (`got` holds the current {@link StoredRow}s),
 * `table-unavailable` (certainly not done) or `table-unknown` (done, or done later, or not).
 */
export interface Store {
  transact(change: StoreTransaction, timeoutMs?: number): Outcome<number>;
  /** Reads the rows of one part, all of them or one key. */
  read(query: { table: string; part: string; key?: string }): Outcome<VersionedRows>;
  /** Lists the parts of a table. */
  listParts(table: string): Outcome<string[]>;
  /** Waits for changes after a version; `undefined` when that history no longer exists. */
  watch(
    table: string,
    options: { after: number; waitMs: number },
  ): Outcome<VersionedRows | undefined>;
}
