/**
 * The order in which steps are placed: first those that can finish within their objective or belong to
 * work that has started, then by priority of the queue, then by the end of the objective.
 *
 * Under overload, serving the oldest steps first would make all work late. Therefore steps that can
 * only finish late wait behind those that can finish in time.
 */
import { JobState } from '../model/mod.ts';
import type { StepSpec } from '../model/mod.ts';
import type { Job, QueueTerms, Step } from './state.ts';

/** A result has no value once a job has taken more than this many times its objective. */
const tooLateFactor = 3;

/** Computes the duration of the longest chain of dependent steps, in milliseconds. */
export function computeCriticalPathMs(steps: StepSpec[]): number {
  const ends: number[] = [];
  steps.forEach(({ estimatedMs, after }) => {
    const start = Math.max(0, ...after.map((number) => ends[number] ?? 0));
    ends.push(start + estimatedMs);
  });
  return Math.max(0, ...ends);
}

/** Computes the time from acceptance within which a job should be done, in milliseconds. */
export function computeObjectiveMs(job: Job, terms: QueueTerms): number {
  return terms.targetFactor * job.criticalPathMs + terms.targetLatencyMs;
}

/** Computes how late a job may start and still be done within its objective, in milliseconds. */
export function computeSlackMs(
  { targetFactor, targetLatencyMs }: Pick<QueueTerms, 'targetFactor' | 'targetLatencyMs'>,
  steps: StepSpec[],
): number {
  const criticalPathMs = computeCriticalPathMs(steps);
  return targetFactor * criticalPathMs + targetLatencyMs - criticalPathMs;
}

/** Whether a step can still finish in time; lower values are placed first. */
export const Urgency = {
  /** It can finish within its objective, or its work has started and is not too late. */
  InTime: 0,
  /** It can only finish late, but its result still has a value. */
  Late: 1,
  /** It can only finish when its result no longer has a value. */
  TooLate: 2,
} as const;

/** One of the values of {@link Urgency}. */
export type Urgency = (typeof Urgency)[keyof typeof Urgency];

/** Sort key of a step; lower values come first, compared field by field. */
export interface Rank {
  urgency: Urgency;
  priority: number;
  objectiveEndMs: number;
}

function hasAttempts({ job, occurrence }: Step): boolean {
  if (!job.accepted.spec.repetition) return job.state !== JobState.Queued;
  const steps = job.occurrences.get(occurrence) ?? [];
  // The attempts of done tasks are not stored.
  return steps.some(({ tasks }) => tasks.some(({ attempt, isDone }) => attempt > 0 || isDone));
}

function classifyUrgency(step: Step, objectiveMs: number, nowMs: number): Urgency {
  const waitedMs = nowMs - step.objectiveStartMs;
  const neededMs = step.spec.estimatedMs;
  if (waitedMs + neededMs > tooLateFactor * objectiveMs) return Urgency.TooLate;
  // Work that has started is finished before other work is started.
  return waitedMs + neededMs > objectiveMs && !hasAttempts(step) ? Urgency.Late : Urgency.InTime;
}

/**
 * Computes the rank of a step.
 *
 * @example
 * steps.sort((a, b) => compareRanks(computeRank(a, terms, now), computeRank(b, terms, now)));
 */
export function computeRank(step: Step, terms: QueueTerms, nowMs: number): Rank {
  const objectiveMs = computeObjectiveMs(step.job, terms);
  return {
    urgency: classifyUrgency(step, objectiveMs, nowMs),
    priority: terms.priority,
    objectiveEndMs: step.objectiveStartMs + objectiveMs,
  };
}

/** Compares two ranks; negative when the first comes first. */
export function compareRanks(a: Rank, b: Rank): number {
  return a.urgency - b.urgency || a.priority - b.priority || a.objectiveEndMs - b.objectiveEndMs;
}
