/**
 * Enforces the upper limits of teams by allotting units of each limit to the processes.
 */
export * from './allotments.ts';
export * from './ledger.ts';
export * from './limits.ts';
export * from './rules.ts';
export * from './task.ts';
