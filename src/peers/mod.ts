/**
 * Messages between entry processes.
 */
export * from './peers.ts';
export * from './client.ts';
export * from './router.ts';
