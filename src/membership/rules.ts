/**
 * The safety rules of membership as functions, so that a test can show what breaks without each.
 */
import { freshnessRules, mayCommit } from './freshness.ts';
import type { FreshnessRules } from './freshness.ts';
import { isFullMember } from './ring.ts';

/** Rules that a mutation test can replace. */
export interface MembershipRules extends FreshnessRules {
  mayCommit: typeof mayCommit;
  isFullMember: typeof isFullMember;
  /** Decides from the clock; a mutation ignores it. */
  isFresh: (now: number, freshUntil: number) => boolean;
}

/** The rules in force. */
export const membershipRules: MembershipRules = {
  ...freshnessRules,
  mayCommit,
  isFullMember,
  isFresh: (now, freshUntil) => now < freshUntil,
};
