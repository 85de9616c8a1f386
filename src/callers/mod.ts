/**
 * The callers' HTTP interface, through which teams run lookups and jobs.
 *
 * The interface checks the key, team and queue of each request against the current settings, and
 * passes the request to {@link Dispatch}. It rejects all requests while the process is not fresh.
 */
export * from './callers.ts';
