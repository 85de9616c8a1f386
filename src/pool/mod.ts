/**
 * The workers that a process owns.
 */
export * from './pool.ts';
