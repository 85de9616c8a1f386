/**
 * Determines from the member row whether a transaction with an unknown outcome has committed.
 */
import type { Row, Transaction } from '../schema/mod.ts';
import type { Batch, MemberRow } from './_batch.ts';

/** What the member row shows about a batch that was sent. */
export const BatchStatus = {
  Committed: 'committed',
  /** The row does not exist: the process was expelled, has left or has not joined yet. */
  RowMissing: 'absent',
  /** The row is unchanged, so the transaction may still commit. */
  Undecided: 'open',
  /** The empty transaction has committed, so the batch cannot commit any more. */
  Superseded: 'dead',
  /** Another process has written the row. */
  OtherWriter: 'foreign',
} as const;

/** One of the values of {@link BatchStatus}. */
export type BatchStatus = (typeof BatchStatus)[keyof typeof BatchStatus];

/**
 * Determines the status of a batch from the member row read after it was sent.
 *
 * @example
 * determineStatus(batch, { member, row }) === BatchStatus.Committed;
 */
export function determineStatus(
  batch: Batch,
  { member, row }: { member: MemberRow; row: Row },
): BatchStatus {
  if (row.version === 0) return BatchStatus.RowMissing;
  const { operation } = (row.value ?? {}) as { operation?: unknown };
  if (operation === batch.transaction.operation) return BatchStatus.Committed;
  if (batch.advance && operation === batch.advance.operation) return BatchStatus.Superseded;
  return row.version === member.version ? BatchStatus.Undecided : BatchStatus.OtherWriter;
}

/**
 * Makes an empty transaction that advances the version of the member row.
 *
 * @example
 * const advance = makeVersionAdvance(member, 'members/entry-1#8-x');
 */
export function makeVersionAdvance(member: MemberRow, operation: string): Transaction {
  const sequence = Number(member.value.sequence ?? 0) + 1;
  return {
    operation,
    checks: [{ key: member.key, version: member.version }],
    writes: [{ key: member.key, value: { ...member.value, sequence, operation } }],
    reads: [],
  };
}
