/**
 * The interface to clients.
 */
export * from './front.ts';
export * from './routes.ts';
export * from './server.ts';
