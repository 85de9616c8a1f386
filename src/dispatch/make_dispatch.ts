/**
 * Combines lookups and jobs into the interface that the HTTP handlers use.
 */
import type { Dispatch } from './dispatch.ts';
import type { Jobs } from './jobs.ts';
import type { Lookups } from './lookups.ts';

/**
 * Makes the dispatcher of a process.
 *
 * @example
 * const dispatch = makeDispatch({ lookups, jobs });
 */
export function makeDispatch({ lookups, jobs }: { lookups: Lookups; jobs: Jobs }): Dispatch {
  const { submit, job, result, cancel, jobs: listJobs, explain } = jobs;
  return { lookup: lookups.lookup, submit, job, result, cancel, jobs: listJobs, explain };
}
