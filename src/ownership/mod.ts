/**
 * Ownership of workers and job partitions.
 */
export * from './options.ts';
export * from './ownership.ts';
export * from './plan.ts';
export * from './rendezvous.ts';
export * from './task.ts';
