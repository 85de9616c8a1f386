/**
 * The scheduling policy: functions and data structures that make and explain decisions, without
 * I/O.
 */
export * from './placement.ts';
export * from './pending_jobs.ts';
export { makePendingJobs } from './_pending_jobs.ts';
export type { PendingJobsOptions } from './_pending_jobs.ts';
export { makePlacementIndex, defaultLookupSize } from './_placement_index.ts';
export type { PlacementIndexOptions } from './_placement_index.ts';
export * from './headroom.ts';
export * from './lookup_route.ts';
export * from './retries.ts';
export * from './worker_health.ts';
export * from './estimates.ts';
export * from './overuse.ts';
export * from './reservation.ts';
export * from './gangs.ts';
export * from './services.ts';
export * from './shares.ts';
export * from './share_digest.ts';
export * from './evacuation.ts';
export * from './isolation.ts';
