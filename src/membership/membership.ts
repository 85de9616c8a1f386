/**
 * What the rest of a process knows of its own membership and of the other members.
 */
import type { FreshAnswer, FreshQuestion, Member } from '../schema/mod.ts';

/** Life cycle of a process as a member. */
export const Phase = {
  Joining: 'joining',
  Provisional: 'provisional',
  Full: 'full',
  Draining: 'draining',
  Left: 'left',
  Expelled: 'expelled',
} as const;

/** One of the values of {@link Phase}. */
export type Phase = (typeof Phase)[keyof typeof Phase];

/** A set of members at one membership version. */
export interface View {
  version: number;
  members: Member[];
}

/** The process as a member of the fleet. */
export interface Membership {
  /** Present member id; a new one after an expulsion. */
  id(): string;
  phase(): Phase;
  view(): View;
  /** Views of the last while, newest first, with the time since each was replaced. */
  recentViews(): { view: View; replacedAgoMs: number }[];
  /** True while this process may act on its settings and ownership. */
  isFresh(): boolean;
  /** Until when, by the process's monotonic clock. */
  freshUntil(): number;
  /** True while a settings change may be committed by this process. */
  mayCommitSettings(): boolean;
  /** Blocks promises for the time of a settings commit; call the result when its outcome is known. */
  beginSettingsCommit(): () => void;
  /** Answers a peer that asks for a relay or a promise. */
  vouch(question: FreshQuestion): FreshAnswer;
  subscribe(observer: (view: View) => void): void;
  drain(): Promise<void>;
}
