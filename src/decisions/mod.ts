/**
 * The policy: pure functions and data structures that decide and explain, and do no I/O.
 */
export * from './placement.ts';
export * from './waiting.ts';
