/**
 * The order in which steps are served when there is not room for all: by priority of the queue, then
 * by the end of the job's objective; work that can no longer be in time comes after all other work.
 */
import type { StepSpec } from '../model/mod.ts';
import type { Job, QueueTerms, Step } from './state.ts';

/** A job is worth something until this many times its objective. */
const lateFactor = 3;

/** Duration of the longest chain of steps, in milliseconds. */
export function longestChainMs(steps: StepSpec[]): number {
  const ends: number[] = [];
  steps.forEach(({ estimatedMs, after }) => {
    const start = Math.max(0, ...after.map((number) => ends[number] ?? 0));
    ends.push(start + estimatedMs);
  });
  return Math.max(0, ...ends);
}

/** Time within which a job should be done, in milliseconds from its acceptance. */
export function objectiveMs(job: Job, terms: QueueTerms): number {
  return terms.targetFactor * job.chainMs + terms.targetLatencyMs;
}

/** Place of a step in the order; lower values first, compared one by one. */
export interface Rank {
  isHopeless: boolean;
  priority: number;
  dueAtMs: number;
}

/**
 * Ranks a step of a job.
 *
 * @example
 * steps.sort((a, b) => compareRanks(rankOf(a, terms, now), rankOf(b, terms, now)));
 */
export function rankOf(step: Step, terms: QueueTerms, nowMs: number): Rank {
  const objective = objectiveMs(step.job, terms);
  const latestEndMs = step.job.acceptedAtMs + lateFactor * objective;
  return {
    isHopeless: nowMs + step.spec.estimatedMs > latestEndMs,
    priority: terms.priority,
    dueAtMs: step.job.acceptedAtMs + objective,
  };
}

/** Compares two ranks; negative when the first comes first. */
export function compareRanks(a: Rank, b: Rank): number {
  if (a.isHopeless !== b.isHopeless) return a.isHopeless ? 1 : -1;
  return a.priority - b.priority || a.dueAtMs - b.dueAtMs;
}
