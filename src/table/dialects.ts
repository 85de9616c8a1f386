/**
 * The known dialects of the table service.
 */
import { makeHttpTable } from './_http.ts';

/**
 * Makes a client by the name of its dialect, as set in `table.dialect`.
 *
 * @example
 * const table = tableDialects['http-json']({ address: '127.0.0.1', port: 7000, clock });
 */
export const tableDialects = {
  'http-json': makeHttpTable,
} as const;

/** Name of a dialect of the table service. */
export type TableDialect = keyof typeof tableDialects;
