/**
 * Runs a whole deployment on one machine as separate processes: entry processes and stand-ins for
 * the platform's services. Used by the demo, the tests with real processes and the benchmarks.
 */
export * from './callers.ts';
export * from './demo.ts';
export * from './deployment.ts';
export * from './site.ts';
