/**
 * Messages between entry processes.
 */
export * from './peers.ts';
