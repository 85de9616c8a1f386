/**
 * Team upper limits as allotments per process.
 */
export * from './allotments.ts';
export * from './ledger.ts';
export * from './limits.ts';
export * from './rules.ts';
export * from './task.ts';
