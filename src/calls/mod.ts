/**
 * JSON calls over HTTP.
 */
export * from './json_client.ts';
