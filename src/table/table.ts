/**
 * Interfaces to the platform's transactional table service.
 */
import type { Outcome } from '../errors/mod.ts';
import type { Check, Commit, Row, Transaction, Write } from '../schema/mod.ts';

/**
 * A client of the table service. Each dialect of the service has its own implementation.
 *
 * `transact` fails with `table-conflict` (`got` lists the keys whose version differs),
 * `table-unavailable` (it has not committed and never will) or `table-unknown`.
 */
export interface Table {
  read(keys: string[]): Outcome<Row[]>;
  scan(prefix: string, options?: { after?: string; limit?: number }): Outcome<Row[]>;
  transact(transaction: Transaction): Outcome<Commit>;
}

/** Checks, writes and reads that are applied atomically. */
export interface Mutation {
  checks?: Check[];
  writes?: Write[];
  reads?: string[];
  /** Keys of rows whose version is returned without the value. */
  versions?: string[];
}

/**
 * Serialises all writes of a process to the table service. `commit` resolves once the outcome is
 * certain, or fails with `table-unknown` when it is not known by the timeout; the writer then keeps
 * resolving it before it writes anything else.
 */
export interface Writer {
  commit(mutation: Mutation, options?: { timeoutMs?: number }): Outcome<Commit>;
  /** True while a write is in flight or its outcome is not known. */
  isBusy(): boolean;
}
