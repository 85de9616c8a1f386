/**
 * Membership: own row, heartbeat, expulsion, freshness and promises.
 */
export * from './membership.ts';
