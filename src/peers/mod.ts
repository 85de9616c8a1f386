/**
 * Calls between entry processes: their interface, the client and the HTTP handler.
 */
export * from './peers.ts';
export * from './client.ts';
export * from './router.ts';
