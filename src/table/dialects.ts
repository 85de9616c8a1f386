/**
 * Dialects of the table service that the program supports.
 */
import { makeHttpTable } from './_http.ts';

/**
 * Client factories by dialect name, as set in `table.dialect`.
 *
 * @example
 * const table = tableDialects['http-json']({ address: '127.0.0.1', port: 7000, clock });
 */
export const tableDialects = {
  'http-json': makeHttpTable,
} as const;

/** Name of a supported dialect. */
export type TableDialect = keyof typeof tableDialects;
