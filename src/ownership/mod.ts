/**
 * Ownership of workers and job partitions.
 */
export * from './ownership.ts';
