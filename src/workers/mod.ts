/**
 * The worker protocol.
 */
export * from './workers.ts';
