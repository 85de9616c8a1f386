/**
 * The interface of the scheduler for callers and operators.
 */
import type { Outcome } from '../errors/mod.ts';
import type { Job, JobRequest, LookupAnswer, LookupRequest } from '../schema/mod.ts';

/** An authenticated caller. */
export interface Caller {
  team: string;
  queue: string;
  /** The caller's id of the request, by which repeated requests are found. */
  request?: string;
  signal?: AbortSignal;
}

/** The state of a job, and the history of reasons why it waited or moved. */
export interface Explanation {
  id: string;
  state: string;
  reasons: { at: number; text: string }[];
}

/** The operations that the HTTP interfaces offer. */
export interface Dispatch {
  lookup(caller: Caller, request: LookupRequest): Outcome<LookupAnswer>;
  submit(caller: Caller, request: JobRequest): Outcome<Job>;
  job(team: string, id: string): Outcome<Job>;
  result(team: string, id: string): Outcome<unknown>;
  cancel(team: string, id: string): Outcome<Job>;
  /** Lists the jobs that this process knows, for operators. */
  jobs(filter: { team?: string; state?: string }): Job[];
  explain(id: string): Explanation | undefined;
}
