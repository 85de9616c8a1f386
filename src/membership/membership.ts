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
  /** Ids under which this process was a member before it was expelled. */
  formerIds(): string[];
  phase(): Phase;
  view(): View;
  /** Views of the last while, newest first, with the time since each was replaced. */
  recentViews(): { view: View; replacedAgoMs: number }[];
  /** True while this process may act on its settings and ownership. */
  isFresh(): boolean;
  /** Until when, by the process's monotonic clock. */
  freshUntil(): number;
  /**
   * True while a settings change may be committed by this process. The transaction has to check the
   * version of `head`, and `head.membership` has to be the version of the present view: a member
   * expelled since then could otherwise go unnoticed.
   */
  mayCommitSettings(): boolean;
  /**
   * Blocks promises for the time of a settings commit. Call the result when the commit has ended;
   * where its outcome is unknown, with `certain: false`, and promises stay blocked until it is known.
   */
  beginSettingsCommit(): (end?: { certain?: boolean }) => void;
  /** Answers a peer that asks for a relay or a promise. */
  vouch(question: FreshQuestion): FreshAnswer;
  subscribe(observer: (view: View) => void): void;
  drain(): Promise<void>;
}
