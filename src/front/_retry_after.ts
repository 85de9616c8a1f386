/**
 * When a caller whose job was refused should come back.
 *
 * Load answered: outages of the store of several seconds, and a full fleet. Callers give up after a few
 * attempts; one whose job can wait spreads them over the time that it has, so that it outlasts the
 * outage, and one whose answer is wanted at once comes back at once.
 */
import { computeSlackMs } from '../scheduler/mod.ts';
import type { JobSpec, Queue } from '../model/mod.ts';

const minRetryAfterS = 1;
const maxRetryAfterS = 3;
/** Attempts that a caller is expected to make. */
const attempts = 4;
const msPerS = 1_000;

/**
 * Seconds after which to come back: a part of the time by which the job may begin late and still be done
 * within its objective.
 *
 * @example
 * retryAfterFor(queue, spec); // 1 for a lookup, 3 for a batch that has 12 s to spare
 */
export function retryAfterFor(
  terms: Pick<Queue, 'targetFactor' | 'targetLatencyMs'>,
  { steps }: Pick<JobSpec, 'steps'>,
): number {
  const partS = Math.round(computeSlackMs(terms, steps) / attempts / msPerS);
  return Math.min(maxRetryAfterS, Math.max(minRetryAfterS, partS));
}
