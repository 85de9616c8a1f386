/**
 * What the HTTP interfaces for callers and for operators share: bounds, routes, JSON bodies, answers
 * to failures, and draining.
 */
export * from './request_context.ts';
export * from './server.ts';
