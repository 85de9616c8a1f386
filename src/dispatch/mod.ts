/**
 * Dispatches lookups, jobs, gangs and services: from the request to the response.
 */
export * from './dispatch.ts';
export * from './lookups.ts';
export * from './jobs.ts';
export * from './make_dispatch.ts';
export * from './peer_choice.ts';
export type { LookupParts } from './_lookup_run.ts';
export type { JobOptions } from './_job_state.ts';
export { partitionOf } from './_job_rows.ts';
