/**
 * Batching of requests to another process.
 */
export * from './batcher.ts';
