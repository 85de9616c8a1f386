/**
 * The entry process: its core components, external clients and servers.
 */
export * from './core.ts';
export * from './entry.ts';
