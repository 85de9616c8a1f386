/**
 * The supported dialects of the worker protocol.
 */
import { makeHttpWorkers } from './_http.ts';

/**
 * Functions that create a worker client, by the value of the setting `dialect`.
 *
 * @example
 * const workers = workerDialects['http-json']({ clock, invariants });
 */
export const workerDialects = {
  'http-json': makeHttpWorkers,
} as const;

/** Name of a dialect of the worker protocol. */
export type WorkerDialect = keyof typeof workerDialects;
