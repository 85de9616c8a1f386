/**
 * The known dialects of the worker protocol.
 */
import { makeHttpWorkers } from './_http.ts';

/**
 * Makes a client by the name of its dialect, as set in the worker `dialect`.
 *
 * @example
 * const workers = workerDialects['http-json']({ clock, invariants });
 */
export const workerDialects = {
  'http-json': makeHttpWorkers,
} as const;

/** Name of a dialect of the worker protocol. */
export type WorkerDialect = keyof typeof workerDialects;
