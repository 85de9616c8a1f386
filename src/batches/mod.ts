/**
 * Requests collected into batches.
 */
export * from './batcher.ts';
