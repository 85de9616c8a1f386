/**
 * What the member row tells about a transaction whose outcome is not known.
 */
import type { Row, Transaction } from '../schema/mod.ts';
import type { MemberRow, Sent } from './_batch.ts';

/** The possible verdicts. */
export const Verdict = {
  Committed: 'committed',
  /** The row does not exist: expelled, left, or not yet joined. */
  Absent: 'absent',
  /** The row is unchanged, so the transaction may still take effect. */
  Open: 'open',
  /** The empty transaction took effect, so this one never will. */
  Dead: 'dead',
  /** Another process writes the row. */
  Foreign: 'foreign',
} as const;

/** One of the values of {@link Verdict}. */
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/**
 * Compares the member row with what was sent.
 *
 * @example
 * judge(sent, { member, row }) === Verdict.Committed;
 */
export function judge(sent: Sent, { member, row }: { member: MemberRow; row: Row }): Verdict {
  if (row.version === 0) return Verdict.Absent;
  const { operation } = (row.value ?? {}) as { operation?: unknown };
  if (operation === sent.transaction.operation) return Verdict.Committed;
  if (sent.advance && operation === sent.advance.operation) return Verdict.Dead;
  return row.version === member.version ? Verdict.Open : Verdict.Foreign;
}

/**
 * The empty transaction that advances the member row.
 *
 * @example
 * const advance = makeAdvance(member, 'members/entry-1#8-x');
 */
export function makeAdvance(member: MemberRow, operation: string): Transaction {
  const sequence = Number(member.value.sequence ?? 0) + 1;
  return {
    operation,
    checks: [{ key: member.key, version: member.version }],
    writes: [{ key: member.key, value: { ...member.value, sequence, operation } }],
    reads: [],
  };
}
