/**
 * The HTTP front end for clients.
 */
export type { ClientRequest, ClientResponse, Relay } from './_responses.ts';
export type { SchedulerClient } from './scheduler_client.ts';
export * from './front.ts';
export * from './routes.ts';
export * from './server.ts';
