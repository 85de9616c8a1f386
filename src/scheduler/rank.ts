/**
 * The order in which steps are served when there is not room for all: work that can be done within
 * its objective first, then by priority of the queue and by the end of the objective.
 *
 * Load answered: more work than room. Serving the oldest first would make all of it late; so work that
 * can only be late waits behind work that can be in time.
 */
import { JobState } from '../model/mod.ts';
import type { StepSpec } from '../model/mod.ts';
import type { Job, QueueTerms, Step } from './state.ts';

/** A job is worth something until this many times its objective. */
const tooLateFactor = 3;

/** Duration of the longest chain of steps, in milliseconds. */
export function computeCriticalPathMs(steps: StepSpec[]): number {
  const ends: number[] = [];
  steps.forEach(({ estimatedMs, after }) => {
    const start = Math.max(0, ...after.map((number) => ends[number] ?? 0));
    ends.push(start + estimatedMs);
  });
  return Math.max(0, ...ends);
}

/** Time within which a job should be done, in milliseconds from its acceptance. */
export function computeObjectiveMs(job: Job, terms: QueueTerms): number {
  return terms.targetFactor * job.criticalPathMs + terms.targetLatencyMs;
}

/** Time by which a job may begin late and still be done within its objective, in milliseconds. */
export function computeSlackMs(
  { targetFactor, targetLatencyMs }: Pick<QueueTerms, 'targetFactor' | 'targetLatencyMs'>,
  steps: StepSpec[],
): number {
  const criticalPathMs = computeCriticalPathMs(steps);
  return targetFactor * criticalPathMs + targetLatencyMs - criticalPathMs;
}

/** How much a job still gains by being served now; lower comes first. */
export const Urgency = {
  /** It can be done within its objective. */
  InTime: 0,
  /** It can be done late, while it still is worth something. */
  Late: 1,
  /** It can no longer be done while it is worth something. */
  TooLate: 2,
} as const;

/** One of the values of {@link Urgency}. */
export type Urgency = (typeof Urgency)[keyof typeof Urgency];

/** Place of a step in the order; lower values first, compared one by one. */
export interface Rank {
  urgency: Urgency;
  priority: number;
  dueAtMs: number;
}

function hasDecidedStart({ job, occurrence }: Step): boolean {
  if (!job.accepted.spec.repetition) return job.state !== JobState.Queued;
  const steps = job.occurrences.get(occurrence) ?? [];
  return steps.some(({ tasks }) => tasks.some(({ attempt }) => attempt > 0));
}

function classifyUrgency(step: Step, objectiveMs: number, nowMs: number): Urgency {
  const waitedMs = nowMs - step.objectiveStartMs;
  const neededMs = step.spec.estimatedMs;
  if (waitedMs + neededMs > tooLateFactor * objectiveMs) return Urgency.TooLate;
  // Work that has begun is worth finishing before other work begins.
  return waitedMs + neededMs > objectiveMs && !hasDecidedStart(step)
    ? Urgency.Late
    : Urgency.InTime;
}

/**
 * Ranks a step of a job.
 *
 * @example
 * steps.sort((a, b) => compareRanks(rankOf(a, terms, now), rankOf(b, terms, now)));
 */
export function computeRank(step: Step, terms: QueueTerms, nowMs: number): Rank {
  const objectiveMs = computeObjectiveMs(step.job, terms);
  return {
    urgency: classifyUrgency(step, objectiveMs, nowMs),
    priority: terms.priority,
    dueAtMs: step.objectiveStartMs + objectiveMs,
  };
}

/** Compares two ranks; negative when the first comes first. */
export function compareRanks(a: Rank, b: Rank): number {
  return a.urgency - b.urgency || a.priority - b.priority || a.dueAtMs - b.dueAtMs;
}
