/**
 * What the log says of start orders: their numbers, and the times of a single one.
 */
import type { Run } from '../scheduler/mod.ts';

/** Numbers of start orders, for the log. */
export interface StartOrderCounts {
  /** Orders sent, including repeated ones. */
  sent: number;
  /** Orders without a response that tells their outcome, and orders that could not be sent. */
  unanswered: number;
  /** Starts given up since the worker did not list the run for as long as its order may be carried out. */
  givenUp: number;
  /** Orders that the worker rejected. */
  rejected: number;
  /** Decided starts that were not sent, since their conditions had changed. */
  notSent: number;
}

/** Makes counts of zero. */
export function makeStartOrderCounts(): StartOrderCounts {
  return { sent: 0, unanswered: 0, givenUp: 0, rejected: 0, notSent: 0 };
}

/** Computes the times since the decision to start a run, for its log line. */
export function computeOrderTimes(
  { orderedAtMs, storedAtMs, sentAtMs, sends }: Run,
  nowMs: number,
): { afterMs: number; storedAfterMs?: number; sentAfterMs?: number; sends: number } {
  const sinceOrdered = (atMs: number) => Math.round(atMs - orderedAtMs);
  return {
    afterMs: sinceOrdered(nowMs),
    ...(storedAtMs === undefined ? {} : { storedAfterMs: sinceOrdered(storedAtMs) }),
    ...(sentAtMs === undefined ? {} : { sentAfterMs: sinceOrdered(sentAtMs) }),
    sends,
  };
}
