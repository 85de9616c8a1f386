/**
 * JSON calls over HTTP.
 */
export * from './call.ts';
