/**
 * Reads the platform's list of hosts.
 */
import { makeHttpHosts } from './_http.ts';

export * from './hosts.ts';
export type { HostsClient } from './_http.ts';

/**
 * Functions that create a host list client, by the name of the protocol dialect.
 *
 * @example
 * const hosts = hostDialects['http-json']({ address: '127.0.0.1', port: 7002, clock });
 */
export const hostDialects = { 'http-json': makeHttpHosts } as const;
