/**
 * The exchanges of membership with the table service: reading the view and expelling a member.
 */
import { Left, Right } from 'purify-ts';

import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Outcome } from '../errors/mod.ts';
import type { Departed, Head, Member, Row } from '../schema/mod.ts';
import type { Table } from '../table/mod.ts';
import type { Identity, MemberWriter } from './member_writer.ts';
import type { View } from './membership.ts';
import { scanAll } from './scan.ts';

/** The row `head` before anybody has written it. */
export const emptyHead: Head = { settings: 0, membership: 0 };

/** A view that was the present one at some moment during the read. */
export interface ViewSnapshot {
  view: View;
  head: Head;
  /** A member that a provisional member expelled awaits settlement. */
  hasUnsettledExpulsion: boolean;
}

/**
 * Reads all members. `head` is read before and after; a scan during which membership changed is not
 * used, since it could miss both a member and the settings that this member committed.
 *
 * @example
 * const read = await readView(table);
 */
export async function readView(table: Table): Outcome<ViewSnapshot> {
  const before = await table.read(['head']);
  if (before.isLeft()) return before;
  const members = await scanAll(table, 'members/');
  if (members.isLeft()) return members;
  const departed = await scanAll(table, 'departed/');
  if (departed.isLeft()) return departed;
  const after = await table.read(['head']);
  if (after.isLeft()) return after;
  const headOf = (rows: Row[]) => (rows[0]?.value ?? emptyHead) as Head;
  const head = headOf(after.orDefault([]));
  if (headOf(before.orDefault([])).membership !== head.membership) {
    return Left(makeFailure(ErrorKind.TableConflict, 'membership changed while it was read'));
  }
  return Right({
    view: {
      version: head.membership,
      members: members.orDefault([]).map((row) => row.value as Member),
    },
    head,
    hasUnsettledExpulsion: departed.orDefault([]).some((row) => !(row.value as Departed).full),
  });
}

const makeMembershipAdvance = (row: Row | undefined) => {
  const head = (row?.value ?? emptyHead) as Head;
  return {
    checks: [{ key: 'head', version: row?.version ?? 0 }],
    writes: [{ key: 'head', value: { ...head, membership: head.membership + 1 } }],
  };
};

/**
 * Lets the lane find out that its row is gone, where a read of all members has shown it first: it
 * refuses a join while it takes itself for a member.
 */
async function deleteFormerRow(
  writer: MemberWriter,
  { table, timeoutMs }: { table: Table; timeoutMs: number },
): Outcome<unknown> {
  if (writer.memberRow() === undefined) return Right(undefined);
  const probe = await writer.commit({}, { timeoutMs });
  if (probe.isRight()) return leaveAs(writer, { table, timeoutMs });
  return writer.memberRow() === undefined ? Right(undefined) : probe;
}

/**
 * Joins under the id, and advances `head.membership` in the same transaction.
 *
 * @example
 * await joinAs(lane, { table, identity, timeoutMs: 2_000 });
 */
export async function joinAs(
  writer: MemberWriter,
  { table, identity, timeoutMs }: { table: Table; identity: Identity; timeoutMs: number },
): Outcome<unknown> {
  const cleared = await deleteFormerRow(writer, { table, timeoutMs });
  if (cleared.isLeft()) return cleared;
  const read = await table.read(['head']);
  if (read.isLeft()) return read;
  const [row] = read.orDefault([]);
  const joinedVersion = ((row?.value ?? emptyHead) as Head).membership + 1;
  return writer.join(
    { ...identity, joined: joinedVersion, seen: 0, draining: false },
    { memberKey: `members/${identity.id}`, mutation: makeMembershipAdvance(row), timeoutMs },
  );
}

/**
 * Marks the own row as draining. The membership version advances, so that the others pass this member
 * over when they decide who should own what.
 *
 * @example
 * await markDraining(lane, { table, id });
 */
export async function markDraining(
  writer: MemberWriter,
  { table, id }: { table: Table; id: string },
): Outcome<unknown> {
  const read = await table.read(['head']);
  if (read.isLeft()) return read;
  const { checks, writes } = makeMembershipAdvance(read.orDefault([])[0]);
  const ownWrite = { key: `members/${id}`, value: { draining: true } };
  return writer.commit({ checks, writes: [ownWrite, ...writes] });
}

/**
 * Deletes the own row, and advances `head.membership` in the same transaction.
 *
 * @example
 * await leaveAs(lane, { table, timeoutMs: 2_000 });
 */
export async function leaveAs(
  writer: MemberWriter,
  { table, timeoutMs }: { table: Table; timeoutMs: number },
): Outcome<unknown> {
  const read = await table.read(['head']);
  if (read.isLeft()) return read;
  return writer.leave({ mutation: makeMembershipAdvance(read.orDefault([])[0]), timeoutMs });
}

/**
 * Deletes the row of a member that has not changed it, in one transaction with `departed/{id}`.
 *
 * @example
 * await expelMember(lane, { stale, head, by: 'm1', full: true });
 */
export function expelMember(
  writer: MemberWriter,
  { stale, head, by, full }: { stale: Row; head: Row; by: string; full: boolean },
): Outcome<unknown> {
  const { id, address } = stale.value as Member;
  const departed: Departed = { id, by, full, address };
  const { checks, writes } = makeMembershipAdvance(head);
  return writer.commit({
    checks: [{ key: stale.key, version: stale.version }, ...checks],
    writes: [{ key: stale.key }, { key: `departed/${id}`, value: departed }, ...writes],
  });
}
