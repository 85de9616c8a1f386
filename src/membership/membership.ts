/**
 * The interface through which the rest of a process uses its membership and sees the other members.
 */
import type { FreshAnswer, FreshQuestion, Member } from '../schema/mod.ts';

/** Phases of a process's membership. */
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

/** The members at one membership version. */
export interface View {
  version: number;
  members: Member[];
}

/** The membership of this process in the fleet. */
export interface Membership {
  /** Current member id; it changes after an expulsion. */
  id(): string;
  /** Ids under which this process was a member before its expulsions. */
  formerIds(): string[];
  phase(): Phase;
  view(): View;
  /** Recently replaced views, newest first, with the time since each was replaced. */
  recentViews(): { view: View; replacedAgoMs: number }[];
  /** Whether this process may act on its settings and ownership. */
  isFresh(): boolean;
  /** Until when this process is fresh, on its monotonic clock. */
  freshUntil(): number;
  /**
   * Whether this process may commit a settings change. The transaction has to check the version of
   * `head`, and `head.membership` has to equal the version of the current view. Otherwise the
   * expulsion of a member since then could go unnoticed.
   */
  mayCommitSettings(): boolean;
  /**
   * Blocks promises during a settings commit. Call the returned function when the commit has ended,
   * with `certain: false` if its outcome is unknown: promises stay blocked until it is resolved.
   */
  beginSettingsCommit(): (end?: { certain?: boolean }) => void;
  /** Responds to a peer that asks for a relay or a promise. */
  respondToFreshQuestion(question: FreshQuestion): FreshAnswer;
  subscribe(observer: (view: View) => void): void;
  /** Hands over everything that this process owns and leaves. */
  drain(): Promise<void>;
}
