/**
 * An entry process on the users' platform, and its metrics.
 */
export * from './host.ts';
export * from './host_metrics.ts';
