/**
 * The table writer interface that membership needs; the writer of `table` implements it.
 */
import type { Outcome } from '../errors/mod.ts';
import type { Commit, Member, Row } from '../schema/mod.ts';
import type { Mutation, Writer } from '../table/mod.ts';

/** Identity and address with which a process joins. */
export type Identity = Pick<Member, 'id' | 'address' | 'port' | 'dataCentre' | 'region'>;

/** The table writer of a process, which also maintains the row `members/{id}`. */
export interface MemberWriter extends Writer {
  /** Creates the member row and applies the mutation in one transaction. */
  join(
    value: Record<string, unknown>,
    options?: { memberKey?: string; mutation?: Mutation; timeoutMs?: number },
  ): Outcome<Commit>;
  /** Deletes the member row and applies the mutation in one transaction. */
  leave(options?: { mutation?: Mutation; timeoutMs?: number }): Outcome<Commit>;
  /** Returns the row of this process; undefined while it is not a member. */
  memberRow(): Row | undefined;
}
