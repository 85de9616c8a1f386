/**
 * The worker protocol.
 */
export * from './workers.ts';
export * from './dialects.ts';
export type { WorkersClient, WorkersOptions } from './_http.ts';
