/**
 * Reads and changes the member list in the table service.
 */
import { Left, Right } from 'purify-ts';

import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Outcome } from '../errors/mod.ts';
import type { Departed, Head, Member, Row } from '../schema/mod.ts';
import type { Table } from '../table/mod.ts';
import type { Identity, MemberWriter } from './member_writer.ts';
import type { View } from './membership.ts';
import { scanAll } from './scan.ts';

/** Value of the row `head` before its first write. */
export const emptyHead: Head = { settings: 0, membership: 0 };

/** A view that was current at some moment during the read. */
export interface ViewSnapshot {
  view: View;
  head: Head;
  /** Whether a member that was expelled by a provisional member is not settled yet. */
  hasUnsettledExpulsion: boolean;
}

/**
 * Reads all members. Fails if `head.membership` changed during the scan, because the result could
 * miss both a member and the settings that this member committed.
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
 * Makes the writer notice that its member row was deleted, in case a read of all members showed
 * this first. The writer rejects a join while it still considers itself a member.
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
 * Creates the member row and advances `head.membership` in one transaction.
 *
 * @example
 * await joinAs(writer, { table, identity, timeoutMs: 2_000 });
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
 * Marks the row of this process as draining. The membership version advances, so that other members
 * exclude this one when they assign owners.
 *
 * @example
 * await markDraining(writer, { table, id });
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
 * Deletes the row of this process and advances `head.membership` in one transaction.
 *
 * @example
 * await leaveAs(writer, { table, timeoutMs: 2_000 });
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
 * Deletes the row of a member that stopped updating it and writes `departed/{id}` in one
 * transaction.
 *
 * @example
 * await expelMember(writer, { stale, head, by: 'm1', full: true });
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
