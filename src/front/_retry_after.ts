/**
 * Computes the Retry-After of a refused job.
 *
 * Guards against outages of the store that last several seconds, and against a full fleet. Clients give
 * up after a few attempts. A client whose job can wait spreads its attempts over the slack of the job,
 * so that they outlast the outage; a client that needs its result at once retries at once.
 */
import { computeSlackMs } from '../scheduler/mod.ts';
import type { JobSpec, Queue } from '../model/mod.ts';

const minRetryAfterS = 1;
/** Also the Retry-After of a job that no waiting helps, as its organisation's limit is too low. */
export const maxRetryAfterS = 3;
/** Attempts that a client is expected to make. */
const expectedAttempts = 4;
const msPerS = 1_000;

/**
 * Computes the seconds after which to retry: the slack of the job, which is the time by which it may
 * start late and still meet its objective, divided by the expected attempts.
 *
 * @example
 * computeRetryAfterS(queue, spec); // 1 for a lookup, 3 for a batch that has 12 s to spare
 */
export function computeRetryAfterS(
  queue: Pick<Queue, 'targetFactor' | 'targetLatencyMs'>,
  { steps }: Pick<JobSpec, 'steps'>,
): number {
  const intervalS = Math.round(computeSlackMs(queue, steps) / expectedAttempts / msPerS);
  return Math.min(maxRetryAfterS, Math.max(minRetryAfterS, intervalS));
}
