/**
 * Reads and writes objects in the platform's object store.
 */
import { makeHttpObjects } from './_http.ts';

export * from './objects.ts';
export type { ObjectsClient } from './_http.ts';

/**
 * Functions that create an object store client, by the name of the protocol dialect.
 *
 * @example
 * const objects = objectDialects.http({ address: '127.0.0.1', port: 7001, clock });
 */
export const objectDialects = { http: makeHttpObjects } as const;
