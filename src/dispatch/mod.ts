/**
 * Lookups, jobs, gangs and services from request to answer.
 */
export * from './dispatch.ts';
export * from './lookups.ts';
export * from './peer_choice.ts';
export * from './retry_budget.ts';
export type { LookupParts } from './_lookup_run.ts';
