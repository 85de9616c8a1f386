/**
 * Phases of a process's membership, as the writer tracks them.
 */

/** Whether the process has a member row, or is creating or deleting it. */
export type MembershipPhase = 'outside' | 'joining' | 'member' | 'leaving' | 'expelled';

/** Messages for operations that are not possible in a phase. */
export const phaseMessages: Record<MembershipPhase, string> = {
  outside: 'the process is not a member',
  joining: 'the process is not a member yet',
  member: 'the process is a member',
  leaving: 'the process is leaving',
  expelled: 'the member row is gone',
};
