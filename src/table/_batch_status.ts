/**
 * What the member row tells about a transaction whose outcome is not known.
 */
import type { Row, Transaction } from '../schema/mod.ts';
import type { MemberRow, Batch } from './_batch.ts';

/** The possible verdicts. */
export const BatchStatus = {
  Committed: 'committed',
  /** The row does not exist: expelled, left, or not yet joined. */
  RowMissing: 'absent',
  /** The row is unchanged, so the transaction may still take effect. */
  Undecided: 'open',
  /** The empty transaction took effect, so this one never will. */
  Superseded: 'dead',
  /** Another process writes the row. */
  OtherWriter: 'foreign',
} as const;

/** One of the values of {@link BatchStatus}. */
export type BatchStatus = (typeof BatchStatus)[keyof typeof BatchStatus];

/**
 * Compares the member row with what was sent.
 *
 * @example
 * determineStatus(pending, { member, row }) === BatchStatus.Committed;
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
 * The empty transaction that advances the member row.
 *
 * @example
 * const advance = makeAdvance(member, 'members/entry-1#8-x');
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
