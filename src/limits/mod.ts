/**
 * Team upper limits as allotments per process.
 */
export * from './limits.ts';
