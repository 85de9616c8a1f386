/**
 * Clients for the worker protocol: fencing, starting, renewing, stopping and listing tasks.
 */
export * from './workers.ts';
export * from './dialects.ts';
export type { WorkersClient, WorkersOptions } from './_http.ts';
