/**
 * The writer of a process to the table service, see section 4.2 of the design.
 */
import type { Clock, Random } from '../clock/mod.ts';
import type { Outcome } from '../errors/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Commit, Row } from '../schema/mod.ts';
import { SerialWriter } from './_serial_writer.ts';
import { makeRetryBudget } from './retry_budget.ts';
import type { RetryBudget } from './retry_budget.ts';
import type { Mutation, Table, Writer } from './table.ts';

/** Dependencies and limits of a writer. */
export interface WriterOptions {
  table: Table;
  clock: Clock;
  random: Random;
  /** Key of the member row, `members/{id}`; `join` can change it. */
  memberKey: string;
  budget?: RetryBudget;
  log?: Logger;
  /** Maximum rows per transaction; a larger mutation is sent alone. */
  maxRows?: number;
  /** Maximum attempts of one mutation while the service is unavailable. */
  maxAttempts?: number;
  /** Called once when the member row no longer exists or another process has written it. */
  onExpelled?: () => void;
}

/**
 * A writer with the functions that only membership code calls.
 *
 * Membership calls `join` once with the whole member row and a mutation that increments
 * `head.membership`, then `commit` for its heartbeats, and `leave` at the end. A write to the member
 * row in a `commit` replaces only the given fields (`seen`, `draining`); the writer sets `sequence`
 * and `operation`. After `expelled`, or a `join` that failed with `table-unknown`, membership calls
 * `join` again with a new member id.
 */
export interface MembershipWriter extends Writer {
  /**
   * Creates the member row. Fails with `table-conflict` when the row exists or a check fails, and
   * with `table-unknown` when the row may still be created later.
   */
  join(
    value: Record<string, unknown>,
    options?: { memberKey?: string; mutation?: Mutation; timeoutMs?: number },
  ): Outcome<Commit>;
  /**
   * Deletes the member row after all queued mutations. Fails with `table-unknown` when the response
   * was lost and the row no longer exists; this call or an expulsion may have deleted it, which makes
   * no difference to the caller.
   */
  leave(options?: { mutation?: Mutation; timeoutMs?: number }): Outcome<Commit>;
  /** The member row as last written; undefined when the process is not a member. */
  memberRow(): Row | undefined;
}

const defaultTimeoutMs = 5_000;
const defaultMaxRows = 64;
const defaultMaxAttempts = 6;

/**
 * Makes the writer of a process.
 *
 * @example
 * const writer = makeWriter({ table, clock, random, memberKey: 'members/entry-1' });
 * await writer.join(member, { mutation: incrementMembership });
 * await writer.commit({ writes: [{ key: 'results/j1', value: 7 }] });
 */
export function makeWriter(options: WriterOptions): MembershipWriter {
  const writer = new SerialWriter({
    budget: makeRetryBudget({ clock: options.clock }),
    log: silentLogger,
    maxRows: defaultMaxRows,
    maxAttempts: defaultMaxAttempts,
    onExpelled: () => undefined,
    ...options,
  });
  return {
    commit: (mutation, { timeoutMs = defaultTimeoutMs } = {}) => writer.commit(mutation, timeoutMs),
    isBusy: () => writer.isBusy(),
    join: (value, { memberKey, mutation = {}, timeoutMs = defaultTimeoutMs } = {}) =>
      writer.join(value, { memberKey, mutation, timeoutMs }),
    leave: ({ mutation = {}, timeoutMs = defaultTimeoutMs } = {}) =>
      writer.leave(mutation, timeoutMs),
    memberRow: () => writer.memberRow(),
  };
}
