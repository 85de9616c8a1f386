/**
 * Stand-ins for the platform's services and for workers, for tests and benchmarks.
 */
export * from './memory_table.ts';
