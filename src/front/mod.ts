/**
 * The interface to clients.
 */
export type { ClientAnswer, ClientCall, Relay } from './_answers.ts';
export type { CellAccess } from './cell_access.ts';
export * from './front.ts';
export * from './routes.ts';
export * from './server.ts';
