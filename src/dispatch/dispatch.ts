/**
 * What callers and operators can ask of the scheduler.
 */
import type { Outcome } from '../errors/mod.ts';
import type { Job, JobRequest, LookupAnswer, LookupRequest } from '../schema/mod.ts';

/** Who asks, after the key was checked. */
export interface Caller {
  team: string;
  queue: string;
  request?: string;
  signal?: AbortSignal;
}

/** Where and why work waits or ran. */
export interface Explanation {
  id: string;
  state: string;
  reasons: { at: number; text: string }[];
}

/** The scheduler behind the HTTP interfaces. */
export interface Dispatch {
  lookup(caller: Caller, request: LookupRequest): Outcome<LookupAnswer>;
  submit(caller: Caller, request: JobRequest): Outcome<Job>;
  job(team: string, id: string): Outcome<Job>;
  result(team: string, id: string): Outcome<unknown>;
  cancel(team: string, id: string): Outcome<Job>;
  /** Jobs that this process knows, for operators. */
  jobs(filter: { team?: string; state?: string }): Job[];
  explain(id: string): Explanation | undefined;
}
