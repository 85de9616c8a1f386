/**
 * The time that a job waits for its first start, broken down by reason.
 */
import type { HoldReason } from './pass.ts';
import type { Job } from './state.ts';

/** The wait reason of a job that no pass has considered yet. */
const unseen = 'unseen';

/** Why a job waits. */
export type WaitReason = HoldReason | typeof unseen;

/** Milliseconds that a job has waited, by reason; reasons without any are left out. */
export type WaitTimes = Partial<Record<WaitReason, number>>;

/** The wait of a job of which no task was started yet. */
export interface Wait {
  /** Current reason, as of the last pass, and since when its time is counted. */
  reason: WaitReason;
  sinceMs: number;
  /** Times up to `sinceMs`. */
  times: WaitTimes;
  /** The job was already reported as too late. */
  isTooLate: boolean;
}

/** Creates the wait of a job that was accepted at the given time. */
export function makeWait(acceptedAtMs: number): Wait {
  return { reason: unseen, sinceMs: acceptedAtMs, times: {}, isTooLate: false };
}

/** Sets the reason why a job waits from now on; the time until now counts for the previous reason. */
export function recordWait({ wait }: Job, reason: WaitReason, nowMs: number): void {
  if (!wait) return;
  if (nowMs > wait.sinceMs) {
    wait.times[wait.reason] = (wait.times[wait.reason] ?? 0) + nowMs - wait.sinceMs;
    wait.sinceMs = nowMs;
  }
  wait.reason = reason;
}

/**
 * Computes how long a job has waited until now by reason, in whole milliseconds.
 *
 * @example
 * computeWaitTimes(job.wait, clock.now()); // { unseen: 3, advicePending: 12 }
 */
export function computeWaitTimes({ reason, sinceMs, times }: Wait, nowMs: number): WaitTimes {
  const untilNow = { ...times, [reason]: (times[reason] ?? 0) + nowMs - sinceMs };
  const rounded = Object.entries(untilNow).map(([name, ms]) => [name, Math.round(ms)] as const);
  return Object.fromEntries(rounded.filter(([, ms]) => ms > 0));
}
