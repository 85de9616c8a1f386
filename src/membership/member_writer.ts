/**
 * What membership needs of the writer lane; the lane of `table` has these functions.
 */
import type { Outcome } from '../errors/mod.ts';
import type { Commit, Member, Row } from '../schema/mod.ts';
import type { Mutation, Writer } from '../table/mod.ts';

/** A process as it describes itself when it joins. */
export type Identity = Pick<Member, 'id' | 'address' | 'port' | 'dataCentre' | 'region'>;

/** The writer lane of a process, which also keeps the row `members/{id}`. */
export interface MemberWriter extends Writer {
  /** Creates the member row together with the mutation. */
  join(
    value: Record<string, unknown>,
    options?: { memberKey?: string; mutation?: Mutation; timeoutMs?: number },
  ): Outcome<Commit>;
  /** Deletes the member row together with the mutation. */
  leave(options?: { mutation?: Mutation; timeoutMs?: number }): Outcome<Commit>;
  memberRow(): Row | undefined;
}
