/**
 * The pool of workers that a process owns.
 */
export * from './pool.ts';
export * from './make_pool.ts';
export type { PoolOptions } from './_state.ts';
