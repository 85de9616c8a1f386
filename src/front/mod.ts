/**
 * The interface to clients.
 */
export type { ClientAnswer, ClientCall, Relay } from './_responses.ts';
export type { CellAccess } from './scheduler_client.ts';
export * from './front.ts';
export * from './routes.ts';
export * from './server.ts';
