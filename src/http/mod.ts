/**
 * What the HTTP interfaces for callers and for operators share: bounds, routes, JSON bodies, answers
 * to failures, and draining.
 */
export * from './exchange.ts';
export * from './server.ts';
