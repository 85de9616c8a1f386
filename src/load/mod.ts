/**
 * A load generator for the callers' HTTP interface.
 */
export * from './arrivals.ts';
export * from './load.ts';
export type { KindResult, Latencies } from './_result_collector.ts';
