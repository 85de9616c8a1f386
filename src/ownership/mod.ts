/**
 * Assigns each worker and each job partition to one entry process. Owners are stored in claim rows
 * of the table, whose epochs serve as fencing tokens.
 */
export * from './options.ts';
export * from './ownership.ts';
export * from './plan.ts';
export * from './rendezvous.ts';
export * from './task.ts';
