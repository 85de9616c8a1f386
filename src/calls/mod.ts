/**
 * JSON requests over HTTP.
 */
export * from './json_client.ts';
