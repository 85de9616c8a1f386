/**
 * Explains from logs what happened to jobs and where their time went.
 */
export * from './log_line.ts';
export * from './timeline.ts';
export { computeDelays } from './delays.ts';
export type { Delays, QueueDelays } from './delays.ts';
