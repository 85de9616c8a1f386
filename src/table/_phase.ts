/**
 * The phases of the writer lane.
 */

/** Whether the process has a member row, and what it does about it. */
export type MembershipPhase = 'outside' | 'joining' | 'member' | 'leaving' | 'expelled';

/** Why a commit is not possible in a phase. */
export const phaseMessages: Record<MembershipPhase, string> = {
  outside: 'the process is not a member',
  joining: 'the process is not a member yet',
  member: 'the process is a member',
  leaving: 'the process is leaving',
  expelled: 'the member row is gone',
};
