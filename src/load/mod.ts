/**
 * A load generator for the HTTP interface of callers.
 */
export * from './arrivals.ts';
export * from './load.ts';
export type { KindResult, Latencies } from './_result_collector.ts';
