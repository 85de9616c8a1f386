/**
 * The time that a job spends before its first start, by what it waits for.
 */
import type { HoldReason } from './pass.ts';
import type { Job } from './state.ts';

/** What a job waits for that no pass has looked at yet. */
const unseen = 'unseen';

/** What a job waits for. */
export type WaitReason = HoldReason | typeof unseen;

/** Milliseconds by what a job has waited for; reasons without any are left out. */
export type WaitTimes = Partial<Record<WaitReason, number>>;

/** What is known of the wait of a job of which nothing was started yet. */
export interface Wait {
  /** What it has waited for since the time; the last pass told. */
  reason: WaitReason;
  sinceMs: number;
  /** Times before that. */
  times: WaitTimes;
  /** It was noted that the job can only be done without worth. */
  isTooLate: boolean;
}

/** Makes the wait of a job that was accepted at the time. */
export function makeWait(acceptedAtMs: number): Wait {
  return { reason: unseen, sinceMs: acceptedAtMs, times: {}, isTooLate: false };
}

/** Notes what a job waits for from now on; the time until now counts for what was noted before. */
export function recordWait({ wait }: Job, reason: WaitReason, nowMs: number): void {
  if (!wait) return;
  if (nowMs > wait.sinceMs) {
    wait.times[wait.reason] = (wait.times[wait.reason] ?? 0) + nowMs - wait.sinceMs;
    wait.sinceMs = nowMs;
  }
  wait.reason = reason;
}

/**
 * Times that a job has waited until now, rounded.
 *
 * @example
 * computeWaitTimes(job.wait, clock.now()); // { unseen: 3, advicePending: 12 }
 */
export function computeWaitTimes({ reason, sinceMs, times }: Wait, nowMs: number): WaitTimes {
  const untilNow = { ...times, [reason]: (times[reason] ?? 0) + nowMs - sinceMs };
  const rounded = Object.entries(untilNow).map(([name, ms]) => [name, Math.round(ms)] as const);
  return Object.fromEntries(rounded.filter(([, ms]) => ms > 0));
}
