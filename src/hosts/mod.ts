/**
 * The platform's list of hosts.
 */
export * from './hosts.ts';
