/**
 * Membership of a process in the fleet: member row, heartbeats, expulsion, freshness and promises.
 */
export * from './freshness.ts';
export * from './member_writer.ts';
export * from './lifecycle.ts';
export * from './membership.ts';
export * from './options.ts';
export * from './ring.ts';
export * from './rules.ts';
export * from './scan.ts';
export * from './task.ts';
