/**
 * Requests collected into batches.
 */
export * from './batches.ts';
