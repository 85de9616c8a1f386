/**
 * A whole deployment on one machine, as separate processes: stand-ins of the platform and entry
 * processes. The demo, the tests with real processes and the benchmarks use it.
 */
export * from './callers.ts';
export * from './demo.ts';
export * from './deployment.ts';
export * from './site.ts';
