/**
 * The safety rules of membership. They are replaceable, so that a test can show what breaks without
 * each.
 */
import { freshnessRules, mayCommit } from './freshness.ts';
import type { FreshnessRules } from './freshness.ts';
import { isFullMember } from './ring.ts';

/** Safety rules that a mutation test can replace. */
export interface MembershipRules extends FreshnessRules {
  mayCommit: typeof mayCommit;
  isFullMember: typeof isFullMember;
  /** Whether freshness has not expired yet. */
  isFresh: (now: number, freshUntil: number) => boolean;
}

/** The rules that production code uses. */
export const membershipRules: MembershipRules = {
  ...freshnessRules,
  mayCommit,
  isFullMember,
  isFresh: (now, freshUntil) => now < freshUntil,
};
