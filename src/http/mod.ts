/**
 * The HTTP server shared by the callers' and the operators' interfaces: resource bounds, routing,
 * JSON bodies, error responses and draining.
 */
export * from './request_context.ts';
export * from './server.ts';
